package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.config.MemberList;
import beechseam.core.Timer;
import beechseam.dispatch.EndpointUpdate;
import beechseam.net.TimerQueue;
import beechseam.platform.ListWatch.Call;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The calls to discovery in virtual time, for each fault mode of discovery's agent. */
class ListWatchTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1000 * MILLISECOND;
    private static final long GRACE = 300 * MILLISECOND;
    private static final long ONE_WAY_NS = MILLISECOND / 2;
    private static final long SLOW_NS = 80 * SECOND;

    /** SILENT: the call gets no response. SLOW: the response arrives in small parts over {@link #SLOW_NS}. */
    enum Fault {
        NONE,
        SILENT,
        REFUSED,
        RESET,
        ERROR,
        LATE,
        STALE_DELTA,
        NO_WAIT,
        SLOW
    }

    /** An agent that injects faults, on a virtual clock. */
    private static final class Agent implements ListWatch.Transport {
        final TimerQueue timers = new TimerQueue();
        final Random random;
        final List<Call> watches = new ArrayList<>();
        final List<Call> startedCalls = new ArrayList<>();
        final Set<Call> ended = new HashSet<>();
        final ListWatch watch;
        long now;
        long version = 1;
        long appliedVersion = -1;
        long appliedAt;
        EndpointUpdate lastUpdate;
        int calls;
        int pending;
        int maxPending;
        Fault fault;
        double faultProbability = 1;

        Agent(long seed) {
            this(seed, Fault.NONE);
        }

        Agent(long seed, Fault first) {
            fault = first;
            random = new Random(seed);
            watch = new ListWatch(() -> now, timers, GRACE, this);
            watch.start(MemberList.NONE);
        }

        void at(long when, Runnable action) {
            timers.set(
                    new Timer() {
                        @Override
                        protected void fire() {
                            action.run();
                        }
                    },
                    when);
        }

        void run(long until) {
            for (Timer due = timers.due(until); due != null; due = timers.due(until)) {
                now = Math.max(now, due.due()); // late, where the test has moved the clock
                due.run();
            }
            now = until;
        }

        @Override
        public void poll(Call call, Call predecessor) {
            calls++;
            startedCalls.add(call);
            maxPending = Math.max(maxPending, ++pending);
            switch (random.nextDouble() < faultProbability ? fault : Fault.NONE) {
                case NONE -> at(now + ONE_WAY_NS, () -> arrive(call));
                case SILENT -> {}
                case REFUSED -> fail(call);
                case RESET, ERROR -> at(now + 2 * ONE_WAY_NS, () -> fail(call));
                case NO_WAIT -> at(now + ONE_WAY_NS, () -> at(now + ONE_WAY_NS, () -> reply(call)));
                case LATE -> at(now + 900 * MILLISECOND, () -> arrive(call));
                case SLOW -> respondSlowly(call, now + SLOW_NS);
                case STALE_DELTA ->
                    at(now + 2 * ONE_WAY_NS, () -> {
                        if (call.sinceVersion > 0) { // a delta to an older list
                            end(call, new MemberList(call.sinceVersion - 1, false, List.of()));
                        } else {
                            fail(call);
                        }
                    });
            }
        }

        /** Sends some bytes every 100 ms and the current list at the end. */
        private void respondSlowly(Call call, long end) {
            if (ended.contains(call)) {
                return;
            }
            if (now >= end) {
                reply(call);
            } else {
                watch.recordProgress(call);
                at(now + 100 * MILLISECOND, () -> respondSlowly(call, end));
            }
        }

        private void fail(Call call) {
            if (!ended.contains(call)) {
                ended.add(call);
                pending--;
                watch.onFailure(call, "test");
            }
        }

        private void arrive(Call call) {
            if (call.sinceVersion < 0 || version > call.sinceVersion || call.waitNs == 0) {
                at(now + ONE_WAY_NS, () -> reply(call));
            } else {
                watches.add(call);
                at(now + call.waitNs, () -> {
                    if (watches.remove(call)) {
                        reply(call);
                    }
                });
            }
        }

        private void reply(Call call) {
            end(call, new MemberList(version, call.sinceVersion < 0, List.of()));
        }

        private void end(Call call, MemberList list) {
            if (!ended.contains(call)) {
                ended.add(call);
                pending--;
                watch.onResponse(call, list);
            }
        }

        void change() {
            version++;
            List<Call> responding = List.copyOf(watches);
            watches.clear();
            responding.forEach(each -> at(now + ONE_WAY_NS, () -> reply(each)));
        }

        /** Breaks the pending calls: by a reset if the fault is one of the connection, otherwise silently. */
        void inject(Fault next) {
            fault = next;
            List<Call> broken = List.copyOf(watches);
            watches.clear();
            if (next == Fault.REFUSED || next == Fault.RESET) {
                broken.forEach(this::fail);
            }
        }

        /** Runs until the version is applied, for at most this time; returns when it was, or a time far ahead. */
        long appliedWithin(long wantedVersion, long limitNs) {
            for (long end = now + limitNs; appliedVersion < wantedVersion && now < end; ) {
                run(now + MILLISECOND);
            }
            return appliedVersion >= wantedVersion ? appliedAt : Long.MAX_VALUE / 2;
        }

        @Override
        public void cancel(Call call) {
            pending -= ended.add(call) ? 1 : 0;
            watches.remove(call);
        }

        @Override
        public void apply(MemberList list, EndpointUpdate update) {
            if (list.version() > appliedVersion) {
                appliedVersion = list.version();
                appliedAt = now;
            }
            lastUpdate = update;
        }

        @Override
        public void onPollFailure(String reason, boolean first) {}

        @Override
        public boolean readUnread(Call call) {
            return false; // this transport never has unread data
        }
    }

    /** Longest delay, in nanoseconds, from when a change is available until it is applied, over many outages. */
    private static long longestDelay(Fault fault, long offsetStepNs) {
        long longest = 0;
        for (long length : new long[] {MILLISECOND, 140 * MILLISECOND, SECOND, 3 * SECOND, 10 * SECOND}) {
            for (long offset = 0; offset <= length + 3 * SECOND; offset += offsetStepNs) {
                Agent agent = new Agent(1);
                agent.run(5 * SECOND + offset * 7 % ListWatch.WATCH_WAIT_NS); // at various times within a watch
                long start = agent.now;
                agent.at(start + length, () -> agent.fault = Fault.NONE);
                agent.inject(fault);
                agent.run(start + offset);
                agent.change();
                long availableAt = Math.max(agent.now, start + length); // discovery had it and was reachable
                longest = Math.max(longest, agent.appliedWithin(2, 20 * SECOND) - availableAt);
            }
        }
        return longest;
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SLOW")
    void changeIsAppliedWithinPropagationLimitForEveryFaultMode(Fault fault) {
        long longest = longestDelay(fault, 50 * MILLISECOND);
        System.out.println("discovery fault=" + fault + " propagation_ms=" + longest / MILLISECOND);
        assertTrue(longest <= ListWatch.WATCH_WAIT_NS + 2 * GRACE, fault + ": " + longest / MILLISECOND + " ms");
        assertTrue(longest < ListWatch.PROPAGATION_LIMIT_NS / 2, "with half of the limit to spare");
    }

    /**
     * A change made as an outage ends is applied within the drain grace. (An agent that responds late has no
     * outage.)
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LATE")
    void changeAtRecoveryFromOutageIsAppliedWithinDrainGrace(Fault fault) {
        for (long length = 4 * SECOND; length < 5 * SECOND; length += 7 * MILLISECOND) {
            Agent agent = new Agent(1);
            agent.run(5 * SECOND);
            agent.inject(fault);
            agent.run(agent.now + length);
            agent.fault = Fault.NONE;
            agent.change();
            long recoveredAt = agent.now;
            long delay = agent.appliedWithin(2, 10 * SECOND) - recoveredAt;
            assertTrue(delay <= GRACE, fault + ": " + delay / MILLISECOND + " ms");
        }
    }

    /** Each call fails with probability one half, with varying faults, permanently. */
    @Test
    void propagationLimitHoldsWhenHalfOfTheCallsFail() {
        for (long seed = 0; seed < 400; seed++) {
            Agent agent = new Agent(seed);
            agent.faultProbability = 0.5;
            Fault[] faults = Fault.values();
            for (int i = 0; i < 8; i++) {
                agent.at(i * SECOND, () -> agent.inject(faults[agent.random.nextInt(faults.length)]));
            }
            agent.run(6 * SECOND + agent.random.nextInt(3000) * MILLISECOND);
            agent.change();
            long changedAt = agent.now;
            assertTrue(
                    agent.appliedWithin(2, 20 * SECOND) - changedAt <= ListWatch.PROPAGATION_LIMIT_NS, "seed " + seed);
        }
    }

    @Test
    void callRateIsLowWhenHealthyAndBoundedDuringOutage() {
        Agent agent = new Agent(1);
        agent.run(60 * SECOND);
        assertTrue(agent.calls <= 32, "a watch at a time: " + agent.calls);
        assertEquals(1, agent.pending);
        agent.inject(Fault.SILENT);
        agent.run(120 * SECOND);
        assertTrue(agent.calls < 32 + 60 * SECOND / (GRACE / 2) + 2, "in a silent minute: " + agent.calls);
        assertTrue(agent.maxPending <= ListWatch.MAX_PENDING_CALLS, "" + agent.maxPending);
        agent.watch.stop();
        assertEquals(0, agent.pending, "no call is leaked");
        int calls = agent.calls;
        agent.run(130 * SECOND);
        assertEquals(calls, agent.calls);
    }

    /** An agent that responds to each long poll immediately with no change must not cause a busy loop. */
    @Test
    void watchThatReturnsEarlyIsNotRepeatedImmediately() {
        Agent agent = new Agent(1, Fault.NO_WAIT);
        agent.run(30 * SECOND);
        assertTrue(agent.calls < 30 * SECOND / (GRACE / 2) * 2 + 10, "" + agent.calls);
        agent.change();
        long changedAt = agent.now;
        assertTrue(agent.appliedWithin(2, SECOND) - changedAt <= GRACE);
    }

    /** Responses are 0.9 s late: the first call must not be cancelled by those made in parallel. */
    @Test
    void lateResponseToEarlierCallIsApplied() {
        Agent agent = new Agent(1);
        agent.fault = Fault.LATE;
        agent.run(30 * SECOND);
        agent.change();
        long changedAt = agent.now;
        assertTrue(
                agent.appliedWithin(2, 10 * SECOND) - changedAt <= ListWatch.WATCH_WAIT_NS + 2 * SECOND,
                "late, but applied");
    }

    /** A list of 4,096 servers at 10 KB/s: parallel calls do not cancel the one that makes progress. */
    @Test
    void slowlyReceivedListIsApplied() {
        Agent agent = new Agent(1, Fault.SLOW);
        agent.run(SLOW_NS - SECOND);
        assertFalse(agent.watch.isSynced());
        assertTrue(agent.watch.freshness().open(), "by the cached list, after the response timeout");
        agent.run(SLOW_NS + SECOND);
        assertTrue(agent.watch.isSynced());
        assertTrue(agent.maxPending <= ListWatch.MAX_PENDING_CALLS, "" + agent.maxPending);
    }

    /** A response that never ends does not delay a change that the next call can read. */
    @Test
    void endlessResponseDoesNotBlockSubsequentCalls() {
        Agent agent = new Agent(1);
        agent.run(5 * SECOND);
        agent.inject(Fault.SLOW);
        agent.run(agent.now + 10 * SECOND);
        agent.fault = Fault.NONE;
        agent.change();
        assertTrue(agent.appliedWithin(2, 10 * SECOND) - agent.now <= 0);
        long changedAt = agent.now;
        agent.change();
        assertTrue(agent.appliedWithin(3, SECOND) - changedAt <= GRACE);
    }

    /** A process that is slow to start sends its first call late: no second call is made before that times out. */
    @Test
    void timeoutOfCallStartsWhenItIsSent() {
        Agent agent = new Agent(1, Fault.SILENT);
        Call first = agent.startedCalls.get(0);
        agent.run(140 * MILLISECOND);
        agent.watch.onSent(first);
        agent.run(280 * MILLISECOND);
        assertEquals(1, agent.calls);
        agent.run(300 * MILLISECOND);
        assertEquals(2, agent.calls);
    }

    /** A failed call beside a pending watch is retried at the retry interval, not when the watch times out. */
    @Test
    void failedCallBesidePendingWatchIsRetriedAfterRetryInterval() {
        Agent agent = new Agent(1);
        agent.run(SECOND);
        int calls = agent.calls;
        agent.fault = Fault.REFUSED;
        agent.now += 400 * MILLISECOND; // a stall: discovery is polled beside the pending watch
        assertFalse(agent.watch.freshness().open());
        assertEquals(calls + 1, agent.calls);
        agent.fault = Fault.NONE;
        agent.run(agent.now + GRACE / 2 + 2 * MILLISECOND);
        assertEquals(calls + 3, agent.calls, "one retry, and the watch that follows its response");
        assertTrue(agent.watch.freshness().open());
    }

    /** A restarted agent counts versions anew: its delta is rejected and the full list requested. */
    @Test
    void deltaUpToOlderVersionIsRejectedAndFullListRequested() {
        Agent agent = new Agent(1);
        agent.version = 41;
        agent.run(SECOND);
        assertEquals(41, agent.appliedVersion);
        agent.version = 7; // restarted, with a new version count
        agent.run(3 * SECOND);
        assertEquals(EndpointUpdate.SNAPSHOT, agent.lastUpdate);
        agent.appliedVersion = 0;
        agent.change();
        assertTrue(agent.appliedWithin(8, SECOND) - agent.now <= 0, "and the watch continues by its versions");
    }

    /** The cached list of a new process may be stale: it is not ready before discovery has responded. */
    @Test
    void gateOpensOnFirstResponseOrResponseTimeout() {
        Agent agent = new Agent(1);
        assertFalse(agent.watch.freshness().open());
        agent.run(2 * MILLISECOND);
        assertTrue(agent.watch.freshness().open() && agent.watch.isSynced());
        Agent silent = new Agent(1, Fault.SILENT);
        silent.run(ListWatch.RESPONSE_TIMEOUT_NS - 1);
        assertFalse(silent.watch.freshness().open());
        silent.run(ListWatch.RESPONSE_TIMEOUT_NS + GRACE / 4); // at the next heartbeat
        assertTrue(silent.watch.freshness().open() && !silent.watch.isSynced());
    }
}
