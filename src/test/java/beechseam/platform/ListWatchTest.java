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

/** The calls to discovery in virtual time, against each way in which they fail. */
class ListWatchTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    private static final long GRACE = 300 * MS;
    private static final long WAY = MS / 2;
    private static final long SLOW_NS = 80 * S;

    /** SILENT: accepted without a word. SLOW: the answer comes byte by byte, for long. */
    enum Way {
        WELL,
        SILENT,
        REFUSED,
        RESET,
        ERROR,
        LATE,
        SPOILT,
        HASTY,
        SLOW
    }

    /** An agent that fails as it is told to, on a clock of its own. */
    private static final class Agent implements ListWatch.Transport {
        final TimerQueue timers = new TimerQueue();
        final Random random;
        final List<Call> waiting = new ArrayList<>();
        final List<Call> asked = new ArrayList<>();
        final Set<Call> hungUp = new HashSet<>();
        final ListWatch watch;
        long now;
        long version = 1;
        long taken = -1;
        long takenAt;
        EndpointUpdate form;
        int calls;
        int out;
        int mostOut;
        Way way;
        double share = 1;

        Agent(long seed) {
            this(seed, Way.WELL);
        }

        Agent(long seed, Way first) {
            way = first;
            random = new Random(seed);
            watch = new ListWatch(() -> now, timers, GRACE, this);
            watch.start(MemberList.NONE);
        }

        void at(long when, Runnable what) {
            timers.set(
                    new Timer() {
                        @Override
                        protected void fire() {
                            what.run();
                        }
                    },
                    when);
        }

        void run(long until) {
            for (Timer t = timers.due(until); t != null; t = timers.due(until)) {
                now = Math.max(now, t.due()); // late, where the test has moved the clock
                t.run();
            }
            now = until;
        }

        @Override
        public void ask(Call call, Call before) {
            calls++;
            asked.add(call);
            mostOut = Math.max(mostOut, ++out);
            switch (random.nextDouble() < share ? way : Way.WELL) {
                case WELL -> at(now + WAY, () -> arrive(call));
                case SILENT -> {}
                case REFUSED -> fail(call);
                case RESET, ERROR -> at(now + 2 * WAY, () -> fail(call));
                case HASTY -> at(now + WAY, () -> at(now + WAY, () -> reply(call)));
                case LATE -> at(now + 900 * MS, () -> arrive(call));
                case SLOW -> trickle(call, now + SLOW_NS);
                case SPOILT ->
                    at(now + 2 * WAY, () -> {
                        if (call.after > 0) { // changes to a list of long ago
                            end(call, new MemberList(call.after - 1, false, List.of()));
                        } else {
                            fail(call);
                        }
                    });
            }
        }

        /** Some bytes every 100 ms, and the list as it is now at the end. */
        private void trickle(Call call, long end) {
            if (hungUp.contains(call)) {
                return;
            }
            if (now >= end) {
                reply(call);
            } else {
                watch.heard(call);
                at(now + 100 * MS, () -> trickle(call, end));
            }
        }

        private void fail(Call call) {
            if (!hungUp.contains(call)) {
                hungUp.add(call);
                out--;
                watch.failed(call, "test");
            }
        }

        private void arrive(Call call) {
            if (call.after < 0 || version > call.after || call.waitNs == 0) {
                at(now + WAY, () -> reply(call));
            } else {
                waiting.add(call);
                at(now + call.waitNs, () -> {
                    if (waiting.remove(call)) {
                        reply(call);
                    }
                });
            }
        }

        private void reply(Call call) {
            end(call, new MemberList(version, call.after < 0, List.of()));
        }

        private void end(Call call, MemberList list) {
            if (!hungUp.contains(call)) {
                hungUp.add(call);
                out--;
                watch.answered(call, list);
            }
        }

        void change() {
            version++;
            List<Call> told = List.copyOf(waiting);
            waiting.clear();
            told.forEach(each -> at(now + WAY, () -> reply(each)));
        }

        /** Whatever is open now breaks: without a word where silent, else by a reset. */
        void strike(Way by) {
            way = by;
            List<Call> struck = List.copyOf(waiting);
            waiting.clear();
            if (by == Way.REFUSED || by == Way.RESET) {
                struck.forEach(this::fail);
            }
        }

        /** When the version was in hand, from now on. */
        long told(long wanted, long atMost) {
            for (long end = now + atMost; taken < wanted && now < end; ) {
                run(now + MS);
            }
            return taken >= wanted ? takenAt : Long.MAX_VALUE / 2;
        }

        @Override
        public void cancel(Call call) {
            out -= hungUp.add(call) ? 1 : 0;
            waiting.remove(call);
        }

        @Override
        public void take(MemberList list, EndpointUpdate how) {
            if (list.version() > taken) {
                taken = list.version();
                takenAt = now;
            }
            form = how;
        }

        @Override
        public void failed(String why, boolean first) {}

        @Override
        public boolean readUnread(Call call) {
            return false; // what arrives here is read as it arrives
        }
    }

    /** The longest between a change that can be had and its being in hand, over troubles and moments. */
    private static long worst(Way way, long grid) {
        long worst = 0;
        for (long length : new long[] {MS, 140 * MS, S, 3 * S, 10 * S}) {
            for (long offset = 0; offset <= length + 3 * S; offset += grid) {
                Agent agent = new Agent(1);
                agent.run(5 * S + offset * 7 % ListWatch.WATCH_WAIT_NS); // at any moment of a watch
                long start = agent.now;
                agent.at(start + length, () -> agent.way = Way.WELL);
                agent.strike(way);
                agent.run(start + offset);
                agent.change();
                long had = Math.max(agent.now, start + length); // it had it, and could be reached
                worst = Math.max(worst, agent.told(2, 20 * S) - had);
            }
        }
        return worst;
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SLOW")
    void aChangeIsToldWellWithinTheTermWhateverFailed(Way way) {
        long worst = worst(way, 50 * MS);
        System.out.println("discovery " + way + ": told " + worst / MS + " ms after it could be had");
        assertTrue(worst <= ListWatch.WATCH_WAIT_NS + 2 * GRACE, way + ": " + worst / MS + " ms");
        assertTrue(worst < ListWatch.PROPAGATION_LIMIT_NS / 2, "with half of the term to spare");
    }

    /**
     * What discovery gets at its return counts at once: only the rule's grace is left for the call. (One that
     * answers late has not been silent.)
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LATE")
    void newsAtTheReturnFromALongSilenceIsInHandWithinTheGrace(Way way) {
        for (long length = 4 * S; length < 5 * S; length += 7 * MS) {
            Agent agent = new Agent(1);
            agent.run(5 * S);
            agent.strike(way);
            agent.run(agent.now + length);
            agent.way = Way.WELL;
            agent.change();
            long back = agent.now;
            long after = agent.told(2, 10 * S) - back;
            assertTrue(after <= GRACE, way + ": " + after / MS + " ms");
        }
    }

    /** Each call fails with an even chance, each in a way of its own, for good. */
    @Test
    void halfOfAllCallsFailAndTheTermIsKept() {
        for (long seed = 0; seed < 400; seed++) {
            Agent agent = new Agent(seed);
            agent.share = 0.5;
            Way[] ways = Way.values();
            for (int i = 0; i < 8; i++) {
                agent.at(i * S, () -> agent.strike(ways[agent.random.nextInt(ways.length)]));
            }
            agent.run(6 * S + agent.random.nextInt(3000) * MS);
            agent.change();
            long from = agent.now;
            assertTrue(agent.told(2, 20 * S) - from <= ListWatch.PROPAGATION_LIMIT_NS, "seed " + seed);
        }
    }

    @Test
    void callsAreFewInQuietAndBoundedInTrouble() {
        Agent agent = new Agent(1);
        agent.run(60 * S);
        assertTrue(agent.calls <= 32, "a watch at a time: " + agent.calls);
        assertEquals(1, agent.out);
        agent.strike(Way.SILENT);
        agent.run(120 * S);
        assertTrue(agent.calls < 32 + 60 * S / (GRACE / 2) + 2, "in a silent minute: " + agent.calls);
        assertTrue(agent.mostOut <= ListWatch.MAX_PENDING_CALLS, "" + agent.mostOut);
        agent.watch.stop();
        assertEquals(0, agent.out, "none is left behind");
        int calls = agent.calls;
        agent.run(130 * S);
        assertEquals(calls, agent.calls);
    }

    /** An agent that answers each watch at once, with nothing: the node has other things to do. */
    @Test
    void aWatchThatDoesNotWaitIsNotMadeAgainAtOnce() {
        Agent agent = new Agent(1, Way.HASTY);
        agent.run(30 * S);
        assertTrue(agent.calls < 30 * S / (GRACE / 2) * 2 + 10, "" + agent.calls);
        agent.change();
        long from = agent.now;
        assertTrue(agent.told(2, S) - from <= GRACE);
    }

    /** The first call of a row answers 0.9 s late: those made beside it must not cost it its answer. */
    @Test
    void aLateAnswerToAnEarlierCallIsTaken() {
        Agent agent = new Agent(1);
        agent.way = Way.LATE;
        agent.run(30 * S);
        agent.change();
        long from = agent.now;
        assertTrue(agent.told(2, 10 * S) - from <= ListWatch.WATCH_WAIT_NS + 2 * S, "late, but told");
    }

    /** 4,096 servers at 10 KB/s: the call that began it is kept, whatever is asked beside it. */
    @Test
    void aListThatTakesLongToComeIsTaken() {
        Agent agent = new Agent(1, Way.SLOW);
        agent.run(SLOW_NS - S);
        assertFalse(agent.watch.isSynced());
        assertTrue(agent.watch.freshness().open(), "by the list as held, after the time of an answer");
        agent.run(SLOW_NS + S);
        assertTrue(agent.watch.isSynced());
        assertTrue(agent.mostOut <= ListWatch.MAX_PENDING_CALLS, "" + agent.mostOut);
    }

    /** An answer that never ends does not keep a change from being told by the next call. */
    @Test
    void anAnswerThatNeverEndsDoesNotHoldUpTheNextCalls() {
        Agent agent = new Agent(1);
        agent.run(5 * S);
        agent.strike(Way.SLOW);
        agent.run(agent.now + 10 * S);
        agent.way = Way.WELL;
        agent.change();
        assertTrue(agent.told(2, 10 * S) - agent.now <= 0);
        long from = agent.now;
        agent.change();
        assertTrue(agent.told(3, S) - from <= GRACE);
    }

    /** A process that is slow to start writes its first call late: no second one is made before its time. */
    @Test
    void aCallThatWentOutLateHasItsTimeFromThen() {
        Agent agent = new Agent(1, Way.SILENT);
        Call first = agent.asked.get(0);
        agent.run(140 * MS);
        agent.watch.sent(first);
        agent.run(280 * MS);
        assertEquals(1, agent.calls);
        agent.run(300 * MS);
        assertEquals(2, agent.calls);
    }

    /** A call beside an open watch fails: it is made again at the interval, and not when the watch is due. */
    @Test
    void aFailedCallBesideAnOpenWatchIsMadeAgainSoon() {
        Agent agent = new Agent(1);
        agent.run(S);
        int calls = agent.calls;
        agent.way = Way.REFUSED;
        agent.now += 400 * MS; // the process did not run: discovery is asked beside its open watch
        assertFalse(agent.watch.freshness().open());
        assertEquals(calls + 1, agent.calls);
        agent.way = Way.WELL;
        agent.run(agent.now + GRACE / 2 + 2 * MS);
        assertEquals(calls + 3, agent.calls, "once more, and the watch that follows its answer");
        assertTrue(agent.watch.freshness().open());
    }

    /** Versions of a list that is not the one we hold mean nothing: the whole list is asked for. */
    @Test
    void changesUpToAnOlderVersionAreNotTaken() {
        Agent agent = new Agent(1);
        agent.version = 41;
        agent.run(S);
        assertEquals(41, agent.taken);
        agent.version = 7; // it began anew, and answers by its own count
        agent.run(3 * S);
        assertEquals(EndpointUpdate.SNAPSHOT, agent.form);
        agent.taken = 0;
        agent.change();
        assertTrue(agent.told(8, S) - agent.now <= 0, "and the watch goes on by its count");
    }

    /** A process that has just started may hold an old list: it is not ready before it was told. */
    @Test
    void settledOnceAnsweredOrAfterTheTimeOfAnAnswer() {
        Agent agent = new Agent(1);
        assertFalse(agent.watch.freshness().open());
        agent.run(2 * MS);
        assertTrue(agent.watch.freshness().open() && agent.watch.isSynced());
        Agent silent = new Agent(1, Way.SILENT);
        silent.run(ListWatch.ANSWER_TIMEOUT_NS - 1);
        assertFalse(silent.watch.freshness().open());
        silent.run(ListWatch.ANSWER_TIMEOUT_NS + GRACE / 4); // at the next heartbeat
        assertTrue(silent.watch.freshness().open() && !silent.watch.isSynced());
    }
}
