package beechseam.fleet.model;

import beechseam.core.Timer;
import beechseam.fleet.membership.Member;
import beechseam.fleet.membership.MemberStatus;
import beechseam.fleet.membership.Membership;
import beechseam.fleet.membership.MembershipHost;
import beechseam.fleet.membership.MembershipOptions;
import beechseam.fleet.membership.Message;
import beechseam.net.TimerQueue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Discrete-event simulation of many {@link Membership}s on one virtual clock, with a network that delays, loses and
 * partitions. A paused process handles all that arrived meanwhile when it resumes, as a stopped operating system
 * process does. Nodes are numbered by the caller; a number is kept over restarts. An event costs O(log n) of those
 * pending. Times are nanoseconds from the start of the simulation.
 */
public final class VirtualFleet {
    /** Told of each change that a member reports. */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * A member's view has changed.
         *
         * @param observer number of the node whose view it is
         * @param before   the state until now, null for a member that was not known
         * @param after    the state from now on
         * @param reason   text for operators
         */
        void memberChanged(int observer, Member before, Member after, String reason);
    }

    /** Decides which messages the network lets through. */
    @FunctionalInterface
    public interface Network {
        /** Whether a message sent now by one node reaches another. */
        boolean delivers(int from, int to);
    }

    /** An event at one process, dropped if that process has ended by then. */
    private final class Event extends Timer {
        private static final int NO_NODE = -1;
        private static final int ANY_GENERATION = -1;

        private final int nodeIndex;
        private final int generation;
        private final Runnable action;

        Event(int nodeIndex, int generation, Runnable action) {
            this.nodeIndex = nodeIndex;
            this.generation = generation;
            this.action = action;
        }

        @Override
        protected void fire() {
            nowNs = Math.max(nowNs, due());
            if (nodeIndex == NO_NODE) {
                action.run();
                return;
            }
            Node node = nodes.get(nodeIndex);
            if (node == null || generation != ANY_GENERATION && node.generation != generation) {
                return;
            }
            if (node.paused) {
                node.deferred.add(action);
            } else {
                action.run();
            }
        }
    }

    /** One process; its successor under the same number has another generation. */
    private final class Node implements MembershipHost {
        final int index;
        final int generation;
        final Membership membership;
        /** Events that arrived while the process was paused. */
        final List<Runnable> deferred = new ArrayList<>();

        boolean paused;
        long wakeUpAtNs = Long.MAX_VALUE;

        Node(int index, int generation, String name, List<String> seeds) {
            this.index = index;
            this.generation = generation;
            Member self = new Member(
                    name,
                    address(index),
                    1,
                    random.nextLong() >>> 1,
                    1,
                    MemberStatus.ALIVE,
                    "",
                    Map.of("zone", "z" + index % ZONES));
            membership = new Membership(self, options.withSeeds(seeds), nowNs, random.nextLong(), this);
        }

        @Override
        public void send(String name, String address, Message message) {
            int receiver = index(address);
            bytesSent += message.approximateBytes();
            messagesSent++;
            if (lossRate > 0 && random.nextDouble() < lossRate || !network.delivers(index, receiver)) {
                return;
            }
            long delayNs = MIN_DELAY_NS + (long) (-Math.log(1 - random.nextDouble()) * MEAN_EXTRA_DELAY_NS);
            String sender = membership.self().name();
            schedule(nowNs + delayNs, receiver, Event.ANY_GENERATION, () -> {
                Node node = nodes.get(receiver);
                if (node != null) {
                    node.membership.receive(nowNs, sender, address(index), message);
                    node.scheduleWakeUp();
                }
            });
        }

        @Override
        public void memberChanged(Member before, Member after, String reason) {
            listener.memberChanged(index, before, after, reason);
        }

        @Override
        public void rejected(String reason) {
            rejections.put(index, reason);
        }

        void scheduleWakeUp() {
            long dueNs = membership.nextDueNs();
            if (dueNs < wakeUpAtNs) {
                wakeUpAtNs = dueNs;
                schedule(dueNs, index, generation, () -> {
                    wakeUpAtNs = Long.MAX_VALUE;
                    membership.advance(nowNs);
                    scheduleWakeUp();
                });
            }
        }
    }

    private static final String ADDRESS_PREFIX = "n";
    private static final int ZONES = 3;
    /** Seeds of the nodes that {@link #startAll} and {@link #restart} start. */
    private static final int[] DEFAULT_SEEDS = {0, 1, 2};
    /** A message takes this long and an exponentially distributed time on top. */
    private static final long MIN_DELAY_NS = 200_000;

    private static final long MEAN_EXTRA_DELAY_NS = 300_000;

    private final MembershipOptions options;
    private final Random random;
    private final Map<Integer, Node> nodes = new HashMap<>();
    private final TimerQueue events = new TimerQueue();
    private final Map<Integer, String> rejections = new HashMap<>();
    private double lossRate;
    private Network network = (from, to) -> true;
    private ChangeListener listener = (observer, before, after, reason) -> {};
    private long bytesSent;
    private long messagesSent;
    private long nowNs;
    private int lastGeneration;

    /** An empty fleet; {@code options} are those of every node but for the seeds, {@code seed} is of all draws. */
    public VirtualFleet(MembershipOptions options, long seed) {
        this.options = options;
        random = new Random(seed);
    }

    /** The virtual time, in nanoseconds. */
    public long nowNs() {
        return nowNs;
    }

    /** Sets the share of messages that are lost, 0 to 1, each independently. */
    public void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Sets which messages are delivered; all, at the start. */
    public void setNetwork(Network newNetwork) {
        network = newNetwork;
    }

    /** Sets who is told of changes from now on, in place of the listener until now. */
    public void setListener(ChangeListener newListener) {
        listener = newListener;
    }

    /** Approximate bytes of all messages sent so far, lost ones included. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Number of all messages sent so far, lost ones included. */
    public long messagesSent() {
        return messagesSent;
    }

    /** The reason for which this node was last rejected, or null. */
    public String rejection(int index) {
        return rejections.get(index);
    }

    private static String address(int index) {
        return ADDRESS_PREFIX + index;
    }

    private static int index(String address) {
        return Integer.parseInt(address.substring(ADDRESS_PREFIX.length()));
    }

    /** Starts a process as this node, in place of the one that runs; {@code seeds} are numbers of nodes. */
    public void start(int index, String name, int... seeds) {
        List<String> addresses =
                Arrays.stream(seeds).mapToObj(VirtualFleet::address).toList();
        lastGeneration++;
        Node node = new Node(index, lastGeneration, name, addresses);
        nodes.put(index, node);
        node.membership.start(nowNs);
        node.scheduleWakeUp();
    }

    /** Starts nodes 0 to {@code count - 1} at once, see {@link #restart}. */
    public void startAll(int count) {
        for (int i = 0; i < count; i++) {
            restart(i);
        }
    }

    /** Starts a process under the node's usual name {@code node-INDEX}, with the first three nodes as seeds. */
    public void restart(int index) {
        start(index, "node-" + index, DEFAULT_SEEDS);
    }

    /** Ends the process without an announcement. */
    public void kill(int index) {
        nodes.remove(index);
    }

    /** Pauses the process, or resumes it. */
    public void setPaused(int index, boolean paused) {
        Node node = nodes.get(index);
        node.paused = paused;
        if (!paused) {
            List<Runnable> missed = List.copyOf(node.deferred);
            node.deferred.clear();
            missed.forEach(Runnable::run);
        }
    }

    /** The membership of the process that runs as this node, or null. */
    public Membership membership(int index) {
        Node node = nodes.get(index);
        return node == null ? null : node.membership;
    }

    /** Lets the process leave. */
    public void leave(int index) {
        Node node = nodes.get(index);
        node.membership.leave(nowNs);
        node.scheduleWakeUp();
    }

    /** Runs the action once so much virtual time has passed. */
    public void after(long delayNs, Runnable action) {
        schedule(nowNs + delayNs, Event.NO_NODE, Event.ANY_GENERATION, action);
    }

    private void schedule(long dueNs, int nodeIndex, int generation, Runnable action) {
        events.set(new Event(nodeIndex, generation, action), dueNs);
    }

    /** Lets so much virtual time pass. */
    public void run(long durationNs) {
        runUntil(durationNs, () -> false);
    }

    /**
     * Lets virtual time pass until the condition holds, which is evaluated after each event.
     *
     * @return false where it did not hold within {@code limitNs}
     */
    public boolean runUntil(long limitNs, BooleanSupplier condition) {
        long endNs = nowNs + limitNs;
        while (!condition.getAsBoolean()) {
            Timer next = events.due(endNs);
            if (next == null) {
                nowNs = endNs;
                return false;
            }
            next.run();
        }
        return true;
    }

    /** Whether all running processes hold the same members for up, and as many as run. */
    public boolean hasConverged() {
        long expected = 0;
        boolean first = true;
        for (Node node : nodes.values()) {
            long digest = node.membership.digest();
            if (node.membership.size() != nodes.size() || !first && digest != expected) {
                return false;
            }
            expected = digest;
            first = false;
        }
        return true;
    }
}
