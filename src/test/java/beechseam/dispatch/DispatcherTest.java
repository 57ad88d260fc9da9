package beechseam.dispatch;

import static beechseam.dispatch.DispatcherHarness.MS;
import static beechseam.dispatch.DispatcherHarness.S;
import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class DispatcherTest {
    private static final JobClass SAFE = DispatcherHarness.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final JobClass UNSAFE = DispatcherHarness.of(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    @Test
    void leastRecentlyUsedDecidesTies() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        Set<Long> used = new HashSet<>();
        for (int i = 1; i <= 3; i++) {
            used.add(rig.job(i));
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
        long first = rig.workerOf(1);
        assertEquals(first, rig.job(4), "all hold one job: the one used longest ago");
    }

    @Test
    void reportedLoadAndOwnSendsMakeTheLowestEl() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(2);
        long busy = rig.job(1);
        rig.job(2);
        rig.run(2, 100 * MS, DispatcherHarness.load(0, 0, 4));
        rig.run(1, S, DispatcherHarness.load(6, 2, 0)); // six held there by others, two of them waiting
        long idle = 3 - busy;
        assertEquals(idle, rig.job(3), "raw load 0 against nearly 4");
        assertEquals(idle, rig.job(4), "own sends since the report count: 1 against nearly 4");
        assertEquals(idle, rig.job(5));
    }

    @Test
    void performanceIndexScalesLoad() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(2);
        long slow = 1;
        for (int i = 1; i <= 60; i++) {
            long at = rig.job(i);
            rig.run(i, at == slow ? 400 * MS : 100 * MS, DispatcherHarness.load(0, 0, 4));
        }
        rig.tick(50 * MS);
        int[] got = new int[3];
        for (int i = 101; i <= 104; i++) {
            got[(int) rig.job(i)]++;
        }
        // sf of the slow one is near 4: with one job its el is near 4, the fast one's with three is 3
        assertTrue(got[2] >= 3, "fast worker got " + got[2]);
    }

    @Test
    void holdsPastRejectThresholdAndRefusesWhenTooLate() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(UNSAFE)).workers(1);
        int sent = 0;
        while (rig.job(++sent) != 0 && sent < 100) {
            rig.now += 1;
        }
        assertTrue(sent > 2 && sent < 100, "a threshold exists: " + sent);
        assertFalse(rig.did("refuse " + sent), "held, not refused at once");
        rig.end(1, 0, Outcome.SERVED, null);
        assertEquals(1, rig.workerOf(sent), "room came: the held job is placed");
        rig.job(500);
        rig.tick(2 * S);
        assertTrue(rig.did("refuse 500"));
    }

    @Test
    void noWorkerRefusesInTime() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(UNSAFE));
        rig.module.endpointsUpdated(rig.now, EndpointUpdate.SNAPSHOT, List.of());
        rig.job(1);
        for (int i = 0; i < 100; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(1, rig.count("refuse 1"));
        assertEquals(0, rig.count("send"));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "LOST", "TIMEOUT", "CANCELLED"})
    void unsafeThatMayHaveRunFailsAndIsNotRepeated(Outcome outcome) {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(UNSAFE)).workers(3);
        rig.job(1);
        rig.end(1, 0, outcome, null);
        assertEquals(1, rig.count("send 1"));
        assertTrue(rig.did("fail 1"));
        assertFalse(rig.did("refuse 1"));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "UNREACHABLE"})
    void whatNeverRanGoesElsewhere(Outcome outcome) {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(UNSAFE)).workers(3);
        long first = rig.job(1);
        rig.end(1, 0, outcome, null);
        assertEquals(2, rig.count("send 1"));
        assertNotEquals(first, rig.workerOf(1));
        rig.end(1, 1, outcome, null);
        rig.end(1, 2, outcome, null);
        assertEquals(3, rig.count("send 1"), "no more than the attempts allowed");
        assertTrue(rig.did("refuse 1"));
    }

    /** What it tells of two attempts could not be told apart, also where it is listed anew meanwhile. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "ERROR", "LOST", "TIMEOUT", "CANCELLED"})
    void aBarredWorkerGetsNoFurtherAttemptOfTheJob(Outcome outcome) {
        for (boolean barred : new boolean[] {true, false}) {
            DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(1);
            rig.job(1);
            if (barred) {
                rig.module.barWorker(rig.now, 1, 0);
            }
            rig.end(1, 0, outcome, null);
            rig.module.endpointsUpdated(rig.now, EndpointUpdate.SNAPSHOT, List.of());
            rig.workers(1);
            for (int i = 0; i < 10; i++) {
                rig.tick(50 * MS);
            }
            assertEquals(barred ? 1 : 2, rig.count("send 1 "), "barred: " + barred);
        }
    }

    /** Where "full" proves nothing an unsafe job ends there, failed; what proves it never ran still does. */
    @Test
    void fullIsNoProofWhereTheRulesSaySo() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.fullIsNoProof(UNSAFE)).workers(3);
        rig.job(1);
        rig.end(1, 0, Outcome.REJECTED, null);
        assertEquals(1, rig.count("send 1 "));
        assertTrue(rig.did("fail 1"));
        assertFalse(rig.did("refuse 1"));
        rig.job(2);
        rig.end(2, 0, Outcome.UNREACHABLE, null);
        assertEquals(2, rig.count("send 2 "), "no connection: it never ran");
        rig.end(2, 1, Outcome.NOT_SENT, null);
        assertEquals(3, rig.count("send 2 "), "not sent: it never ran");
        rig.end(2, 2, Outcome.REJECTED, null);
        assertTrue(rig.did("fail 2"));
    }

    @Test
    void fullThatIsNoProofBindsTheKeyAndLeavesSafeJobsFree() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.fullIsNoProof(
                DispatcherHarness.of(Idempotency.KEYED, DeduplicationScope.ZONE), SAFE));
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.CACHED,
                List.of(
                        DispatcherHarness.worker(1, "z1", 0, EndpointState.READY),
                        DispatcherHarness.worker(2, "z2", 0, EndpointState.READY)));
        for (int i = 101; i <= 120; i++) { // repeats are saved up
            rig.job(i, 1, 1, 4 * S);
            rig.run(i, 100 * MS, DispatcherHarness.load(0, 0, 4));
        }
        assertEquals(1, rig.job(1, 0, 1, 4 * S));
        rig.end(1, 0, Outcome.REJECTED, null);
        assertEquals(1, rig.job(2, 1, 1, 4 * S), "nearer by");
        rig.end(2, 0, Outcome.REJECTED, null);
        for (int i = 0; i < 100; i++) {
            rig.tick(50 * MS);
        }
        assertFalse(rig.did("send 1 2"), "the other zone would not know the key");
        assertFalse(rig.did("refuse 1"), "a refusal would promise that it never ran");
        assertTrue(rig.did("send 2 2"), "a safe job may go anywhere");
    }

    @Test
    void keyedStaysInItsGroupAndWindow() {
        DispatcherHarness rig = new DispatcherHarness(
                DispatcherHarness.settings(DispatcherHarness.of(Idempotency.KEYED, DeduplicationScope.ZONE)));
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.CACHED,
                List.of(
                        DispatcherHarness.worker(1, "z1", 0, EndpointState.READY),
                        DispatcherHarness.worker(2, "z2", 0, EndpointState.READY)));
        assertEquals(1, rig.job(1));
        rig.end(1, 0, Outcome.LOST, null);
        for (int i = 0; i < 100; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(1, rig.count("send 1"), "the other zone would not know the key");
        assertTrue(rig.did("fail 1"));
        assertFalse(rig.did("refuse 1"));
    }

    /** An attempt that never ran does not clear the copy that may have: the key binds to the copy's zone. */
    @Test
    void keyedCopyThatMayHaveRunBindsAfterTheFirstIsTurnedAway() {
        DispatcherHarness rig = new DispatcherHarness(
                DispatcherHarness.settings(DispatcherHarness.of(Idempotency.KEYED, DeduplicationScope.ZONE)));
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.CACHED,
                List.of(
                        DispatcherHarness.worker(1, "z1", 0, EndpointState.READY),
                        DispatcherHarness.worker(2, "z1", 0, EndpointState.READY),
                        DispatcherHarness.worker(3, "z2", 0, EndpointState.READY)));
        rig.job(1);
        for (int i = 0; i < 6; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(2, rig.count("send 1"), "not started in time: a copy in the same zone");
        rig.end(1, 1, Outcome.LOST, null);
        rig.end(1, 0, Outcome.REJECTED, null);
        for (int i = 0; i < 100; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(
                0, rig.done.stream().filter(line -> line.equals("send 1 3")).count());
        assertFalse(rig.did("refuse 1"), "a refusal would promise that it never ran");
    }

    /** Doubt is bounded and fades: a fleet that failed as a whole is used again by itself. */
    @Test
    void wholeFleetDoubtedIsTriedAgain() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        for (int i = 1; i <= 30; i++) {
            rig.job(i);
            for (int a = 0; a < rig.count("send " + i + " "); a++) {
                rig.end(i, a, Outcome.UNREACHABLE, null);
            }
            rig.tick(50 * MS);
        }
        for (int i = 0; i < 400; i++) {
            rig.tick(50 * MS);
        }
        assertNotEquals(0, rig.job(5000), "twenty seconds later");
    }

    @Test
    void listIsAskedForAgainWithinBoundsHoweverOftenItFails() {
        DispatcherHarness rig =
                new DispatcherHarness(DispatcherHarness.settings(LoadReportSource.ANSWERS, true, 1, SAFE));
        for (int i = 2; i <= 20; i++) {
            rig.module.endpointsUpdated(rig.now, EndpointUpdate.FAILED, List.of());
            rig.now += 2 * S; // a quarter of the time within which the list must be asked for
            rig.module.timerFired(rig.now, 2);
            assertEquals(i, rig.count("watch"), "one call for each failure");
            assertEquals(i - 1, rig.count("wake 2"));
        }
    }

    @Test
    void probesAreBoundedByTheirPrice() {
        DispatcherHarness rig = new DispatcherHarness(
                        DispatcherHarness.settings(LoadReportSource.HEALTH_CHECKS, false, 1, SAFE))
                .workers(4);
        for (int i = 0; i < 200; i++) {
            rig.tick(500 * MS);
            for (long w = 1; w <= 4; w++) {
                rig.module.healthCheckCompleted(rig.now, w, true, DispatcherHarness.load(0, 0, 4));
            }
            if (i == 100) {
                rig.done.clear();
                for (int j = 0; j < 10; j++) {
                    rig.job(1000 + j);
                }
            }
        }
        assertTrue(rig.count("probe") <= 8 + 10, "ten jobs at 0.01 points buy ten: " + rig.count("probe"));
    }

    @Test
    void repeatsHaveABudget() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(40);
        for (int i = 1; i <= 60; i++) {
            rig.job(i);
            rig.end(i, 0, Outcome.LOST, null);
        }
        // one at the start and 0.1 for each job: no more than 7 repeats
        assertTrue(rig.count("send") <= 60 + 7, "sends " + rig.count("send"));
        assertTrue(rig.count("send") > 60);
    }

    @Test
    void nothingGoesToDrainingOrGoneWorkers() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        rig.module.endpointsUpdated(
                rig.now, EndpointUpdate.DELTA, List.of(DispatcherHarness.worker(1, "z1", 0, EndpointState.DRAINING)));
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.SNAPSHOT,
                List.of(
                        DispatcherHarness.worker(1, "z1", 0, EndpointState.DRAINING),
                        DispatcherHarness.worker(3, "z1", 0, EndpointState.READY)));
        for (int i = 1; i <= 4; i++) {
            long at = rig.job(i);
            assertTrue(at == 3 || at == 0, "sent to " + at);
        }
        assertEquals(3, rig.workerOf(1));
    }

    @Test
    void askedForListIsAskedAgainAfterAFailureAndNeverLongNotAsked() {
        DispatcherHarness rig =
                new DispatcherHarness(DispatcherHarness.settings(LoadReportSource.ANSWERS, true, 1, SAFE));
        assertEquals(1, rig.count("watch"));
        rig.module.endpointsUpdated(rig.now, EndpointUpdate.FAILED, List.of());
        rig.now += 2 * S;
        rig.module.timerFired(rig.now, 2);
        assertEquals(2, rig.count("watch"));
    }

    @Test
    void coldWorkerTakesItsBudgetOnlyAndSmallHintsDoNotCheatIt() {
        DispatcherHarness rig =
                new DispatcherHarness(DispatcherHarness.settings(LoadReportSource.ANSWERS, false, 4, SAFE)).workers(1);
        for (int i = 1; i <= 20; i++) {
            rig.job(i);
            rig.run(i, 300 * MS, DispatcherHarness.load(0, 0, 4));
        }
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.DELTA,
                List.of(
                        DispatcherHarness.worker(1, "z1", 0, EndpointState.REMOVED),
                        DispatcherHarness.worker(8, "z1", rig.now, EndpointState.READY)));
        for (int i = 101; i <= 140; i++) {
            rig.module.jobArrived(rig.now, new Job(i, 0, 4 * S, MS, 1, 0));
        }
        // four slots at a quarter, three times that for 1 s, half of it used: 1.5 s of work, a part ours
        long cold =
                rig.done.stream().filter(line -> line.matches("send \\d+ 8")).count();
        assertTrue(cold >= 1 && cold <= 3, "jobs of 300 ms sent cold: " + cold);
    }

    /** Opening a connection has a price: among equals the worker with one open gets the job. */
    @Test
    void openConnectionIsPreferredWhereANewOneIsPriced() {
        DispatchSettings s = DispatcherHarness.settings(SAFE);
        DispatcherHarness rig = new DispatcherHarness(new DispatchSettings(
                        s.classes(),
                        s.limits(),
                        s.rules(),
                        s.loadReportSource(),
                        false,
                        1,
                        0,
                        "z1",
                        true,
                        S,
                        0.05,
                        0.5,
                        0.01,
                        false))
                .workers(3);
        long first = rig.job(1);
        rig.run(1, 100 * MS, DispatcherHarness.load(0, 0, 4));
        assertEquals(first, rig.job(2), "its connection is open, the others' are not");
        rig.run(2, 100 * MS, DispatcherHarness.load(0, 0, 4));
        rig.now += 11 * S;
        assertNotEquals(first, rig.job(3), "it has closed: the least recently used");
    }

    /** A hundred dispatchers that share nothing use a cold worker and together do not push it over. */
    @Test
    void hundredDispatchersKeepTheColdBudgetTogether() {
        List<DispatcherHarness> group = new ArrayList<>();
        for (int me = 0; me < 100; me++) {
            DispatchSettings s = DispatcherHarness.settings(LoadReportSource.ANSWERS, false, 100, SAFE);
            group.add(new DispatcherHarness(new DispatchSettings(
                    s.classes(),
                    s.limits(),
                    s.rules(),
                    s.loadReportSource(),
                    false,
                    100,
                    me,
                    "z1",
                    true,
                    S,
                    0.05,
                    0,
                    0.01,
                    false)));
        }
        long born = group.get(0).now + 2 * S;
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 60; step++) {
            long now = born + step * 100 * MS;
            for (DispatcherHarness rig : group) {
                rig.now = now;
                if (step == 0) {
                    rig.module.endpointsUpdated(
                            now,
                            EndpointUpdate.SNAPSHOT,
                            List.of(DispatcherHarness.worker(8, "z1", born, EndpointState.READY)));
                }
                long before = rig.count("send");
                rig.tick(0);
                rig.job(step + 1);
                for (long i = before; i < rig.count("send"); i++) {
                    sends.add(now);
                }
            }
        }
        assertTrue(sends.size() >= 6, "the cold worker is used: " + sends.size());
        for (long from : sends) {
            double work = 0.4
                    * sends.stream().filter(at -> at >= from && at < from + S).count();
            double capacity = 2 * (0.25 + 0.75 * (from - born) / (8.0 * S)); // two slots are believed
            assertTrue(work <= 3 * capacity, work + " s of work in a second, capacity " + capacity);
        }
    }

    @Test
    void restartedDispatcherLeavesColdWorkersForAWhile() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE));
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.CACHED,
                List.of(DispatcherHarness.worker(1, "z1", rig.now - S, EndpointState.READY)));
        assertEquals(0, rig.job(1));
    }

    @Test
    void silentWorkerIsDoubtedAndItsSafeJobCopiedOnce() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(2);
        long silent = rig.job(1);
        for (int i = 0; i < 4; i++) {
            rig.tick(50 * MS);
        }
        for (int i = 0; i < 16; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(2, rig.count("send 1"), "one copy");
        assertNotEquals(silent, rig.workerOf(1));
        rig.module.attemptStarted(rig.now, 1, 1);
        assertTrue(rig.did("cancel 1 0"), "the one that waits is not needed once the other runs");
        for (int i = 2; i <= 4; i++) {
            assertNotEquals(silent, rig.job(i), "a silent worker holding one job looks idle and is not");
        }
    }

    /** Cancelled copies may run all the same: what one of a hundred adds, the hundred add together. */
    @Test
    void copiesOfManyStayFewWhereEachKnowsLittle() {
        int[] copies = new int[2];
        for (int i = 0; i < 2; i++) {
            DispatcherHarness rig = new DispatcherHarness(
                            DispatcherHarness.settings(LoadReportSource.ANSWERS, false, i == 0 ? 1 : 100, SAFE))
                    .workers(20);
            for (long id = 1; id <= 100; id++) {
                rig.job(id);
                rig.tick(150 * MS); // it does not start
                copies[i] += rig.count("send " + id + " ") > 1 ? 1 : 0;
                rig.module.attemptStarted(rig.now, id, 0);
                rig.end(id, 0, Outcome.SERVED, DispatcherHarness.load(0, 0, 2));
                rig.now += 10 * S;
            }
        }
        assertTrue(copies[0] >= 9 && copies[1] <= 2, copies[0] + " alone, " + copies[1] + " of a hundred");
    }

    @Test
    void workerSeenBusyIsNotShunnedForGood() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(2);
        long busy = rig.job(1);
        rig.job(2);
        rig.run(1, 100 * MS, DispatcherHarness.load(12, 8, 0));
        rig.run(2, 100 * MS, DispatcherHarness.load(0, 0, 4));
        boolean used = false;
        for (int i = 10; i < 60 && !used; i++) {
            used = rig.job(i) == busy;
            rig.run(i, 100 * MS, used ? null : DispatcherHarness.load(0, 0, 4));
            rig.tick(50 * MS);
        }
        assertTrue(used, "its report has aged");
    }

    @Test
    void lessWorthyClassLeavesQueuesToTheWorthier() {
        JobClass dear = new JobClass(
                "d", 400 * MS, 4 * S, 2, 10, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        JobClass patient =
                new JobClass("p", 4 * S, 20 * S, 2, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(dear, patient)).workers(1);
        int id = 0;
        while (rig.job(++id, 1, 1, 20 * S) != 0) {
            assertTrue(id < 100);
        }
        assertEquals(1, rig.job(1000, 0, 1, 4 * S), "a dear job still finds the worker under its threshold");
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(1);
        rig.job(1);
        rig.module.clientDisconnected(rig.now, 1);
        rig.end(1, 0, Outcome.CANCELLED, null);
        rig.end(1, 0, Outcome.SERVED, null);
        rig.module.clientDisconnected(rig.now, 77);
        rig.module.attemptStarted(rig.now, 77, 0);
        rig.module.attemptProgressed(rig.now, 1, 5, 0.5);
        rig.module.healthCheckCompleted(rig.now, 99, true, null);
        assertEquals(0, rig.count("refuse") + rig.count("fail"), "the client left: no answer is owed");
    }

    @Test
    void sameEventsSameActions() {
        assertEquals(mixedDay(), mixedDay());
    }

    private static List<String> mixedDay() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE, UNSAFE)).workers(5);
        for (int i = 1; i <= 200; i++) {
            rig.job(i, i % 2, 1 + i % 3, 4 * S);
            if (i > 5) {
                rig.end(
                        i - 5,
                        0,
                        i % 7 == 0 ? Outcome.LOST : Outcome.SERVED,
                        DispatcherHarness.load(i % 4, 0, 4 - i % 4));
            }
            rig.tick(30 * MS);
        }
        return rig.done;
    }

    /** Where only probes bring reports the oldest is renewed, and the job goes by what they told. */
    @Test
    void slowProbesFeedTheTable() {
        DispatcherHarness rig = new DispatcherHarness(
                        DispatcherHarness.settings(LoadReportSource.HEALTH_CHECKS, false, 1, SAFE))
                .workers(3);
        rig.job(1);
        rig.tick(S);
        assertEquals(3, rig.count("probe"), "each worker once");
        rig.tick(S);
        assertEquals(3, rig.count("probe"), "none twice while its answer is out");
        for (int i = 1; i <= 3; i++) {
            rig.module.healthCheckCompleted(
                    rig.now, i, true, DispatcherHarness.load(i == 2 ? 0 : 4, 0, i == 2 ? 4 : 0));
        }
        assertEquals(2, rig.job(2));
    }

    /**
     * A hundred that hear of the same idle worker and each choose the lowest of all stand in line there
     * together, ten deep at two slots, while most slots elsewhere are free.
     */
    @Test
    void manyToldTheSameDoNotAllChooseTheSame() {
        int[] got = new int[41];
        for (int me = 0; me < 100; me++) {
            DispatcherHarness rig = new DispatcherHarness(
                            DispatcherHarness.settings(LoadReportSource.ANSWERS, false, 100, SAFE), me)
                    .workers(40);
            for (int w = 1; w <= 40; w++) {
                rig.module.healthCheckCompleted(
                        rig.now, w, true, DispatcherHarness.load(w == 7 ? 0 : 2, 0, w == 7 ? 4 : 2));
            }
            got[(int) rig.job(1)]++;
        }
        assertEquals(0, got[0], "none is held");
        assertTrue(got[7] <= 12 && got[7] >= 1, "at the idle one of forty: " + got[7]);
    }

    /** A list with live weights is a report of all workers at once, and costs no probe. */
    @Test
    void liveWeightsTellWhatWorkersHold() {
        DispatchSettings s = DispatcherHarness.settings(SAFE);
        for (boolean live : new boolean[] {false, true}) {
            DispatcherHarness rig = new DispatcherHarness(new DispatchSettings(
                    s.classes(),
                    s.limits(),
                    s.rules(),
                    s.loadReportSource(),
                    false,
                    1,
                    0,
                    "z1",
                    true,
                    S,
                    0.05,
                    0,
                    0.01,
                    false,
                    live));
            for (double idle : new double[] {4, 0}) {
                List<WorkerEndpoint> lines = new ArrayList<>();
                for (int w = 1; w <= 5; w++) { // all idle, then two jobs a slot at all but the fourth
                    lines.add(new WorkerEndpoint(
                            w, 0, "z1", "k", 0, EndpointState.READY, idle > 0 || w == 4 ? 4 : 4 / 3.0));
                }
                rig.now += S;
                rig.module.endpointsUpdated(rig.now, EndpointUpdate.SNAPSHOT, lines);
            }
            assertEquals(live, rig.job(1) == 4 && rig.job(2) == 4);
        }
    }

    /**
     * A crowd of dispatchers that each queue at home, as one alone does, stood in line there for a third of
     * their jobs while slots of other zones idled: what they send each other no report shows in time.
     */
    @Test
    void inALargeGroupAFreeSlotElsewhereIsTakenAtOnce() {
        for (int group : new int[] {1, 14}) {
            DispatcherHarness rig =
                    new DispatcherHarness(DispatcherHarness.settings(LoadReportSource.ANSWERS, false, group, SAFE));
            rig.module.endpointsUpdated(
                    rig.now,
                    EndpointUpdate.CACHED,
                    List.of(
                            DispatcherHarness.worker(1, "z1", 0, EndpointState.READY),
                            DispatcherHarness.worker(2, "z2", 0, EndpointState.READY)));
            rig.module.healthCheckCompleted(rig.now, 1, true, DispatcherHarness.load(4, 0, 0));
            rig.module.healthCheckCompleted(rig.now, 2, true, DispatcherHarness.load(0, 0, 4));
            assertEquals(group == 1 ? 1 : 2, rig.job(1));
        }
    }

    /** Of workers that are gone no probe brings news: asked for each job, they took thousands a second. */
    @Test
    void aWorkerThatFailsAProbeIsNotAskedAgainForEachJob() {
        DispatcherHarness rig = new DispatcherHarness(
                        DispatcherHarness.settings(LoadReportSource.HEALTH_CHECKS, false, 14, SAFE))
                .workers(1);
        for (int i = 1; i <= 20; i++) {
            rig.job(i);
            rig.tick(10 * MS);
            rig.module.healthCheckCompleted(rig.now, 1, false, null);
        }
        assertEquals(1, rig.count("probe 1"), "twenty jobs in half a report's age");
    }

    /** On small workers a whole slot kept back left every second one idle, and refused work that fitted. */
    @Test
    void lessWorthyJobsUseAllSlotsOfAFreeWorker() {
        JobClass dear =
                new JobClass("d", 400 * MS, 4 * S, 2, 10, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        JobClass cheap =
                new JobClass("p", 400 * MS, 4 * S, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(dear, cheap)).workers(1);
        rig.module.healthCheckCompleted(rig.now, 1, true, DispatcherHarness.load(0, 0, 2));
        assertEquals(1, rig.job(1, 1, 1, 4 * S));
        assertEquals(1, rig.job(2, 1, 1, 4 * S), "the second slot is free");
    }

    /** Three nodes that all trust an old report of an idle worker pile on it together. */
    @Test
    void anOldReportOfAnIdleWorkerIsNotTrustedOverTheOthers() {
        DispatcherHarness rig =
                new DispatcherHarness(DispatcherHarness.settings(LoadReportSource.ANSWERS, false, 3, SAFE)).workers(2);
        for (int i = 1; i <= 200; i++) { // the usual: half of each worker's slots taken by others
            rig.job(i);
            rig.run(i, 100 * MS, DispatcherHarness.load(3 + i % 2, 0, 1 - i % 2));
        }
        rig.module.healthCheckCompleted(rig.now, 1, true, DispatcherHarness.load(0, 0, 4));
        rig.module.healthCheckCompleted(rig.now, 2, true, DispatcherHarness.load(2, 0, 2));
        rig.now += 2 * S;
        Set<Long> used = new HashSet<>();
        for (int i = 201; i <= 202; i++) {
            used.add(rig.job(i));
        }
        assertEquals(Set.of(1L, 2L), used, "two seconds on, both are as busy as usual");
    }

    /** Where worth is counted by work a short class is not worthier for its shortness. */
    @Test
    void worthByWorkRanksClassesByTheirWorthAlone() {
        DispatchSettings s = DispatcherHarness.settings(
                DispatcherHarness.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                new JobClass("long", 4 * S, 9 * S, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null));
        for (boolean byWork : new boolean[] {false, true}) {
            DispatcherHarness rig = new DispatcherHarness(new DispatchSettings(
                            s.classes(),
                            s.limits(),
                            s.rules(),
                            s.loadReportSource(),
                            false,
                            1,
                            0,
                            "z1",
                            true,
                            S,
                            0.05,
                            0,
                            0.01,
                            byWork))
                    .workers(1);
            rig.module.healthCheckCompleted(rig.now, 1, true, DispatcherHarness.load(20, 16, 0));
            assertEquals(byWork ? 1 : 0, rig.job(1, 1, 1, 9 * S), "the long class queues unless it yields");
        }
    }

    /**
     * In a large group most starts are later than reports tell, since nobody sees what the others send.
     * Taken for a wait at every worker, that had nodes refuse a fifth of all jobs while half the slots idled.
     */
    @Test
    void lateStartsAtSomeWorkersDoNotShutTheOthers() {
        DispatcherHarness rig = new DispatcherHarness(
                        DispatcherHarness.settings(LoadReportSource.ANSWERS, false, 14, SAFE))
                .workers(40);
        for (int i = 1; i <= 60; i++) {
            assertNotEquals(0, rig.job(i), "forty workers tell of free slots");
            rig.now += S;
            rig.module.attemptStarted(rig.now, i, 0);
            rig.end(i, 0, Outcome.SERVED, DispatcherHarness.load(0, 0, 4));
        }
    }

    /** On days with clients in haste every second first try was refused as a retry that came too late. */
    @Test
    void aShortBudgetMeansARetryOnlyWhereRetriesAreNotMarked() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(4);
        rig.job(1);
        assertEquals(0, rig.job(2, 0, 1, S), "its aim is long past: refused");
        assertTrue(rig.did("refuse 2"));
        rig.module.jobArrived(rig.now, new Job(3, 0, S, 0, 1, 0, true));
        assertNotEquals(0, rig.workerOf(3));
    }

    /** Half of a fleet that was silent for a second was left out for ten more: no job went there to tell. */
    @Test
    void aWorkerThatAnswersProbesAgainIsTrustedSooner() {
        long[] placedAfter = {0, 0};
        for (int told = 0; told < 2; told++) {
            DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(1);
            for (int i = 1; i <= 6; i++) {
                rig.module.healthCheckCompleted(rig.now, 1, false, null);
            }
            for (int i = 1; placedAfter[told] == 0; i++) {
                rig.now += S / 2;
                if (told == 1) {
                    rig.module.healthCheckCompleted(rig.now, 1, true, DispatcherHarness.load(0, 0, 4));
                }
                placedAfter[told] = rig.job(i) == 0 ? 0 : i;
            }
        }
        assertTrue(placedAfter[1] < placedAfter[0], placedAfter[1] + " of " + placedAfter[0]);
    }

    /** Long queues told once shut a dispatcher: it sent nothing more, and so was told nothing better. */
    @Test
    void longQueuesToldOnceDoNotShutADispatcherForGood() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(4);
        for (int i = 1; i <= 60; i++) {
            rig.job(i);
            rig.run(i, S / 10, DispatcherHarness.load(40, 36, 0));
            rig.now += 20 * S;
        }
        assertNotEquals(0, rig.job(100), "what was told is old: the worker may be tried");
    }

    /** A successor must not learn anew which worker is slow, doubted or full; odd figures are passed over. */
    @Test
    void aSuccessorKnowsWhatItsElderLearned() {
        DispatcherHarness elder = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        for (int i = 1; i <= 60; i++) {
            long at = elder.job(i);
            elder.run(i, at == 1 ? 20 * MS : 120 * MS, DispatcherHarness.load(1, 0, 3));
        }
        DispatcherHarness fresh = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        DispatcherHarness younger = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(3);
        LearnedState learned = elder.module.exportLearnedState(elder.now);
        learned.entries().put("class c2", new double[] {1});
        learned.entries().put("worker 2", new double[] {1, 2});
        learned.entries().put("worker 99", new double[6]);
        younger.module.importLearnedState(younger.now, learned);
        long[] toFast = new long[2];
        for (int i = 1; i <= 6; i++) {
            toFast[0] += fresh.job(i) == 1 ? 1 : 0;
            toFast[1] += younger.job(i) == 1 ? 1 : 0;
        }
        assertTrue(toFast[1] > toFast[0], toFast[1] + " of 6 where a fresh one sends " + toFast[0]);
        Map<String, double[]> before =
                elder.module.exportLearnedState(elder.now).entries();
        String row = "worker " + elder.job(100);
        double[] after = elder.module.exportLearnedState(elder.now).entries().get(row);
        assertEquals(before.get(row)[4] + 1, after[4], 1e-9, "its own hop is others' load to another");
    }

    /**
     * Of two processes of one node one may warm a cold worker: the younger, who knows what it was sent. Their
     * clocks differ where the wall clock was stepped between their starts.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 3600})
    void theRightToWarmGoesOverWithTheRecordOfWhatWasSent(long leadOfYounger) {
        DispatcherHarness elder = new DispatcherHarness(DispatcherHarness.settings(SAFE));
        DispatcherHarness younger = new DispatcherHarness(DispatcherHarness.settings(SAFE));
        elder.now += 2 * S;
        younger.now += (2 + leadOfYounger) * S;
        for (DispatcherHarness each : List.of(elder, younger)) {
            each.module.endpointsUpdated(
                    each.now,
                    EndpointUpdate.SNAPSHOT,
                    List.of(DispatcherHarness.worker(1, "z1", each.now, EndpointState.READY)));
        }
        int most = 0;
        while (elder.job(most + 1) != 0) {
            most++; // until the cold budget is spent
        }
        assertTrue(most > 0);
        younger.module.importLearnedState(younger.now, elder.module.exportLearnedState(elder.now));
        assertEquals(0, younger.job(1), "spent by the elder");
        younger.now += S + 1;
        assertNotEquals(0, younger.job(2), "it need not wait, as after a plain start");
        DispatcherHarness plain = new DispatcherHarness(DispatcherHarness.settings(SAFE));
        plain.module.endpointsUpdated(
                plain.now,
                EndpointUpdate.SNAPSHOT,
                List.of(DispatcherHarness.worker(1, "z1", plain.now, EndpointState.READY)));
        assertEquals(0, plain.job(1), "what an earlier life has sent is not known");
    }

    /** Its time is shorter than a usual run: waiting cannot help it, and a free worker may be fast enough. */
    @Test
    void aJobWithLessTimeThanAUsualRunIsPlacedAtOnce() {
        JobClass lateToo =
                new JobClass("c", 400 * MS, 4 * S, 2, 1, 0.5, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(lateToo)).workers(2);
        assertNotEquals(0, rig.job(1, 0, 1, 200 * MS));
    }

    /**
     * One run in ten takes a hundred times longer: the class's mean and the workers' indices share a scale,
     * and with two kinds of mean they drifted apart, a half in a hundred runs, until the numbers overflowed
     * and no job was placed any more (after 352,630 runs here).
     */
    @Test
    void theScaleOfRunTimesAndIndicesHolds() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(4);
        java.util.Random random = new java.util.Random(3);
        for (int id = 1; id <= 60_000; id++) {
            rig.done.clear();
            assertNotEquals(0, rig.job(id), "job " + id);
            rig.run(id, random.nextInt(10) == 0 ? 2 * MS : MS / 50, null);
        }
        double[] kind = rig.module.exportLearnedState(rig.now).entries().get("kind k");
        assertTrue(Math.abs(kind[0]) < 1, "the mean of the indices is about 1, not e^" + kind[0]);
    }

    private static DispatchSettings oneAttemptOut(int group, JobClass... classes) {
        DispatchSettings s = DispatcherHarness.settings(LoadReportSource.ANSWERS, false, group, classes);
        DispatchLimits limits = new DispatchLimits(3, S, true, true, false, false, 10 * S);
        return new DispatchSettings(
                s.classes(),
                limits,
                s.rules(),
                s.loadReportSource(),
                false,
                group,
                0,
                "z1",
                true,
                2 * S,
                0.02,
                0,
                0,
                false);
    }

    /** Behind another node's job a start is late though all is well: that is load, and no doubt follows. */
    @Test
    void aLateStartTellsLoadBeforeItRaisesDoubt() {
        DispatcherHarness rig = new DispatcherHarness(oneAttemptOut(5, SAFE)).workers(2);
        long busy = rig.job(1);
        for (int i = 0; i < 7; i++) {
            rig.tick(50 * MS);
        }
        assertFalse(rig.module.isEjected(rig.now, busy), "a run of the class may be before it");
        rig.job(2);
        assertNotEquals(busy, rig.workerOf(2), "the other has room for all that is known");
        rig.module.attemptStarted(rig.now, 2, 0);
        assertNotEquals(busy, rig.job(3), "it is taken to be full, the other has begun at once");
        for (int i = 0; i < 100; i++) {
            rig.tick(50 * MS);
        }
        assertTrue(rig.module.isEjected(rig.now, busy), "past the time that takes it is a fault");
    }

    /** Where a job may have one attempt out, one that waits is taken back, and goes on once that is told. */
    @Test
    void aJobThatWaitsIsTakenBackAndGoesWhereItNeedNot() {
        DispatcherHarness rig = new DispatcherHarness(oneAttemptOut(1, SAFE)).workers(2);
        long first = rig.job(1);
        for (int i = 0; i < 6 && rig.count("cancel 1") == 0; i++) {
            rig.tick(50 * MS);
        }
        assertTrue(rig.did("cancel 1 0"), "it has not begun in a quarter of its aim");
        assertEquals(1, rig.count("send 1 "), "and no second is sent before the first has ended");
        rig.end(1, 0, Outcome.CANCELLED, null);
        assertEquals(2, rig.count("send 1 "));
        assertNotEquals(first, rig.workerOf(1));
        rig.module.attemptStarted(rig.now, 1, 1);
        for (int i = 0; i < 20; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(1, rig.count("cancel 1 "), "what runs stays where it is");
    }

    @Test
    void aMovedJobIsNotCountedAsARepeatAndAnUnsafeOneIsNotMoved() {
        DispatcherHarness rig = new DispatcherHarness(oneAttemptOut(5, SAFE, UNSAFE)).workers(2);
        for (int i = 1; i <= 8; i++) {
            rig.job(i);
            for (int k = 0; k < 6 && rig.count("cancel " + i + " ") == 0; k++) {
                rig.tick(50 * MS);
            }
            rig.end(i, 0, Outcome.CANCELLED, null);
            assertEquals(2, rig.count("send " + i + " "), "job " + i + ": " + rig.done);
            rig.module.attemptStarted(rig.now, i, 1);
            rig.now += 10 * MS;
            rig.end(i, 1, Outcome.SERVED, DispatcherHarness.load(0, 0, 4));
        }
        rig.job(100, 1, 1, 4 * S);
        for (int i = 0; i < 10; i++) {
            rig.tick(50 * MS);
        }
        assertEquals(0, rig.count("cancel 100"));
    }

    /** A job of four slots where one is free would stand before all others until three more are. */
    @Test
    void aWideJobNeedsRoomForAllItsSlots() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(1);
        rig.job(1);
        rig.run(1, 100 * MS, DispatcherHarness.load(0, 0, 4));
        for (int i = 2; i <= 4; i++) {
            assertEquals(1, rig.job(i));
            rig.module.attemptStarted(rig.now, i, 0);
        }
        rig.tick(50 * MS);
        assertEquals(0, rig.job(10, 0, 4, 4 * S), "held, and not queued behind three runs");
        assertEquals(1, rig.job(11), "one slot is free, and a narrow job takes it");
    }

    /** Runs of a cold worker are long by its ramp; taken for its speed they shut it when it is warm. */
    @Test
    void runsOfAColdWorkerDoNotMakeItSlowForGood() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE));
        long born = rig.now;
        WorkerEndpoint warm = DispatcherHarness.worker(1, "z1", 0, EndpointState.READY);
        WorkerEndpoint cold = DispatcherHarness.worker(2, "z1", born, EndpointState.READY);
        WorkerEndpoint out = DispatcherHarness.worker(1, "z1", 0, EndpointState.DRAINING);
        long id = 0;
        for (int i = 0; i < 10; i++) { // 100 ms when warm
            rig.module.endpointsUpdated(rig.now, EndpointUpdate.DELTA, List.of(warm));
            rig.job(++id);
            rig.run(id, 100 * MS, DispatcherHarness.load(0, 0, 4));
            rig.module.endpointsUpdated(rig.now, EndpointUpdate.DELTA, List.of(out, cold));
            rig.now = Math.max(rig.now, born + 3 * S);
            if (rig.job(++id) == 2) {
                double ramp = 0.25 + 0.75 * (rig.now - born) / (8.0 * S);
                rig.run(id, (long) (100 * MS / ramp), DispatcherHarness.load(0, 0, 4));
            }
            rig.tick(10 * MS);
        }
        rig.now = born + 20 * S;
        rig.module.endpointsUpdated(rig.now, EndpointUpdate.DELTA, List.of(warm));
        rig.tick(MS);
        int[] got = new int[3];
        for (int i = 0; i < 8; i++) {
            got[(int) rig.job(++id)]++;
        }
        assertTrue(got[2] >= 4, "as fast as the other now that it is warm: " + got[1] + " and " + got[2]);
    }

    /** A worker that came back gets a job soon, though others have room, and no second by that right. */
    @Test
    void aWorkerThatHasJustStartedIsTriedOnce() {
        DispatcherHarness rig = new DispatcherHarness(DispatcherHarness.settings(SAFE)).workers(1);
        rig.module.endpointsUpdated(
                rig.now,
                EndpointUpdate.DELTA,
                List.of(DispatcherHarness.worker(2, "z1", rig.now, EndpointState.READY)));
        rig.now += 2 * S;
        rig.module.timerFired(rig.now, 1);
        assertEquals(Set.of(1L, 2L), Set.of(rig.job(1), rig.job(2)), "no run of the new one is known");
        assertEquals(1, rig.job(3), "one is out there: by its ramp it would take longer than here");
    }

    /** Five or eight nodes see enough of each other to choose among all workers; a hundred do not. */
    @Test
    void someNodesMoreDoNotMakeACrowd() {
        for (int group : new int[] {5, 8, 100}) {
            DispatcherHarness rig = new DispatcherHarness(
                            DispatcherHarness.settings(LoadReportSource.ANSWERS, false, group, SAFE))
                    .workers(12);
            Set<Long> used = new HashSet<>();
            for (int i = 1; i <= 12; i++) {
                used.add(rig.job(i));
                rig.module.attemptStarted(rig.now, i, 0);
                rig.now += MS;
            }
            assertEquals(group <= 8, used.size() == 12, "of " + group + ": " + used);
        }
    }

    @Test
    void modulesAndSourcesKeepTheirSize() throws IOException {
        List<String> module = Files.readAllLines(Path.of("src/main/java/beechseam/Dispatcher.java"));
        assertTrue(module.stream().filter(line -> !line.isBlank()).count() <= 1010);
        try (var sources = Files.walk(Path.of("src"))) {
            for (Path source :
                    sources.filter(path -> path.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(source)) {
                    assertTrue(line.length() <= 110, source + ": " + line);
                }
            }
        }
    }
}
