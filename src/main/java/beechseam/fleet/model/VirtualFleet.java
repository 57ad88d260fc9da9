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
 * Discrete-event simulation of many {@link Membership}s on one virtual clock, with a network that can delay messages,
 * lose messages and be partitioned. A paused process handles the events of its pause when it resumes, as a stopped
 * operating system process does. The caller numbers the nodes; a node keeps its number across restarts. An event costs
 * O(log n) in the number of pending events. Times are nanoseconds since the start of the simulation.
 */
public final class VirtualFleet {
    /** Receives each change that a member reports. */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Handles a change of one node's view.
         *
         * @param observer number of the node whose view has changed
         * @param before   the previous claim, null for a member that was not known
         * @param after    the new claim
         * @param reason   text for operators
         */
        void memberChanged(int observer, Member before, Member after, String reason);
    }

    /** Decides which messages the network delivers. */
    @FunctionalInterface
    public interface Network {
        /** Whether a message that one node sends now reaches the other. */
        boolean delivers(int from, int to);
    }

    /** An event of the whole fleet or of one process; dropped if its process has ended when it is due. */
    private final class Event extends Timer {
        /** Node index of an event of the whole fleet. */
        private static final int NO_NODE = -1;
        /** Generation of an event for whichever process runs as the node when the event is due. */
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

    /** One process of a node. Each process that is started has a generation of its own. */
    private final class Node implements MembershipHost {
        final int index;
        final int generation;
        final Membership membership;
        /** Actions of the events that became due while the process was paused. */
        final List<Runnable> deferred = new ArrayList<>();

        boolean paused;
        /** Time of the scheduled call to the membership, {@code Long.MAX_VALUE} for none. */
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
    /** Minimum delay of a message, to which an exponentially distributed delay is added. */
    private static final long MIN_DELAY_NS = 200_000;

    /** Mean of the exponentially distributed part of the delay. */
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

    /**
     * Creates an empty fleet.
     *
     * @param options settings of every node; the seeds in them are replaced
     * @param seed    seed of all random numbers
     */
    public VirtualFleet(MembershipOptions options, long seed) {
        this.options = options;
        random = new Random(seed);
    }

    /** The current virtual time, in nanoseconds. */
    public long nowNs() {
        return nowNs;
    }

    /** Sets the probability, 0 to 1, with which each message is lost independently of the others. */
    public void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Sets which messages are delivered; initially all are. */
    public void setNetwork(Network newNetwork) {
        network = newNetwork;
    }

    /** Sets the listener for changes, which replaces the previous one. */
    public void setListener(ChangeListener newListener) {
        listener = newListener;
    }

    /** Approximate size of all messages sent so far, including lost ones, in bytes. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Number of all messages sent so far, including lost ones. */
    public long messagesSent() {
        return messagesSent;
    }

    /** The reason of the last rejection of this node, or null if it was never rejected. */
    public String rejection(int index) {
        return rejections.get(index);
    }

    private static String address(int index) {
        return ADDRESS_PREFIX + index;
    }

    private static int index(String address) {
        return Integer.parseInt(address.substring(ADDRESS_PREFIX.length()));
    }

    /** Starts a process as this node, replacing any running one; {@code seeds} are node numbers. */
    public void start(int index, String name, int... seeds) {
        List<String> addresses =
                Arrays.stream(seeds).mapToObj(VirtualFleet::address).toList();
        lastGeneration++;
        Node node = new Node(index, lastGeneration, name, addresses);
        nodes.put(index, node);
        node.membership.start(nowNs);
        node.scheduleWakeUp();
    }

    /** Starts nodes 0 to {@code count - 1} at the same time, see {@link #restart}. */
    public void startAll(int count) {
        for (int i = 0; i < count; i++) {
            restart(i);
        }
    }

    /** Starts a process under the node's default name {@code node-INDEX}, with the first three nodes as seeds. */
    public void restart(int index) {
        start(index, "node-" + index, DEFAULT_SEEDS);
    }

    /** Ends the process without announcing its departure. */
    public void kill(int index) {
        nodes.remove(index);
    }

    /** Pauses or resumes the process. */
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

    /** Makes the process leave the fleet. */
    public void leave(int index) {
        Node node = nodes.get(index);
        node.membership.leave(nowNs);
        node.scheduleWakeUp();
    }

    /** Schedules the action to run after the delay in virtual time. */
    public void after(long delayNs, Runnable action) {
        schedule(nowNs + delayNs, Event.NO_NODE, Event.ANY_GENERATION, action);
    }

    private void schedule(long dueNs, int nodeIndex, int generation, Runnable action) {
        events.set(new Event(nodeIndex, generation, action), dueNs);
    }

    /** Runs the simulation for the duration in virtual time. */
    public void run(long durationNs) {
        runUntil(durationNs, () -> false);
    }

    /**
     * Runs the simulation until the condition holds. The condition is evaluated before the first and after each event.
     *
     * @return false if the condition did not hold within {@code limitNs}
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

    /** Whether all running processes agree on the set of members that are up, and its size is their number. */
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
