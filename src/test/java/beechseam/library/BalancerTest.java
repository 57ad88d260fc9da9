package beechseam.library;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.library.Outcome.Failed;
import beechseam.library.Outcome.Refused;
import beechseam.library.Outcome.Served;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the public API of the balancer with senders that answer, fail, throw, block or never answer. */
class BalancerTest {
    private static final Duration TWENTY_SECONDS = Duration.ofSeconds(20);
    private static final JobType IDEMPOTENT = JobType.of("safe", TWENTY_SECONDS).idempotent();
    private static final JobType NON_IDEMPOTENT = JobType.of("once", TWENTY_SECONDS);

    /** Attempts that the test has yet to complete. */
    private final ConcurrentLinkedQueue<PendingAttempt> pendingAttempts = new ConcurrentLinkedQueue<>();

    private Balancer<String, String> balancer;

    private record PendingAttempt(Sender.Attempt<String> attempt, CompletableFuture<String> answer) {}

    private CompletableFuture<String> recordAttempt(Sender.Attempt<String> attempt) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        pendingAttempts.add(new PendingAttempt(attempt, answer));
        return answer;
    }

    private Balancer.Builder<String, String> manualBalancer() {
        return Balancer.<String, String>builder(this::recordAttempt)
                .type(IDEMPOTENT)
                .type(NON_IDEMPOTENT)
                .seed(7)
                .targets(List.of(Target.of("a"), Target.of("b")));
    }

    private PendingAttempt nextAttempt() throws Exception {
        for (long end = System.nanoTime() + 20_000_000_000L; System.nanoTime() < end; Thread.sleep(1)) {
            PendingAttempt pending = pendingAttempts.poll();
            if (pending != null) {
                return pending;
            }
        }
        return fail("no attempt was sent within 20 s");
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(20, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() {
        if (balancer != null) {
            balancer.close(Duration.ZERO);
        }
    }

    @Test
    void minimalConfigurationServesAJob() throws Exception {
        balancer = Balancer.<String, String>builder(a -> CompletableFuture.completedFuture(a.job() + " done"))
                .type(JobType.of("mail", Duration.ofSeconds(5)))
                .targets(List.of(Target.of("a")))
                .build();
        assertEquals(new Served<>("letter done", "a", 1), get(balancer.dispatch("mail", "letter")));
    }

    @Test
    void failedIdempotentJobIsRetriedElsewhereAndNonIdempotentIsNot() throws Exception {
        balancer = manualBalancer().build();
        var safe = balancer.dispatch("safe", "x");
        PendingAttempt first = nextAttempt();
        first.answer.completeExceptionally(new IllegalStateException("broken"));
        PendingAttempt second = nextAttempt();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        assertEquals(2, second.attempt.number());
        second.answer.complete("y");
        assertEquals(new Served<>("y", second.attempt.target().id(), 2), get(safe));
        var once = balancer.dispatch("once", "x");
        nextAttempt().answer.completeExceptionally(new IllegalStateException("broken"));
        assertInstanceOf(Failed.class, get(once));
        assertTrue(pendingAttempts.isEmpty());
    }

    @Test
    void jobThatNeverRanIsRetriedElsewhereEvenIfNonIdempotent() throws Exception {
        balancer = manualBalancer().build();
        var once = balancer.dispatch("once", "x");
        PendingAttempt first = nextAttempt();
        first.answer.completeExceptionally(new NeverRanException(NeverRanException.Reason.FULL, "full"));
        PendingAttempt second = nextAttempt();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        second.answer.complete("y");
        assertTrue(get(once).served());
    }

    @Test
    void dispatchWithoutTargetsIsRefused() throws Exception {
        balancer = Balancer.<String, String>builder(this::recordAttempt)
                .type(JobType.of("short", Duration.ofMillis(300)))
                .retryAfter(Duration.ofMillis(1500))
                .build();
        Refused<String> refused = (Refused<String>) get(balancer.dispatch("short", "x"));
        assertEquals(Duration.ofMillis(1500), refused.retryAfter().orElseThrow());
    }

    @Test
    void deadlinePassesWhileAnAttemptIsInFlight() throws Exception {
        balancer = manualBalancer().build();
        long start = System.nanoTime();
        var late = balancer.dispatch("once", "x", Duration.ofMillis(300), null);
        PendingAttempt pending = nextAttempt();
        AtomicInteger cancelled = new AtomicInteger();
        pending.attempt.onCancel(cancelled::incrementAndGet);
        Outcome<String> outcome = get(late);
        assertTrue(outcome instanceof Failed<String> f && f.late(), outcome.toString());
        assertTrue(System.nanoTime() - start >= 200_000_000L);
        pending.answer.complete("too late");
        assertEquals(outcome, get(late));
        assertTrue(pending.attempt.cancelled());
        pending.attempt.onCancel(cancelled::incrementAndGet);
        for (int i = 0; i < 2000 && cancelled.get() < 2; i++) {
            Thread.sleep(5);
        }
        assertEquals(2, cancelled.get(), "before and after the cancel");
    }

    @Test
    void cancellingTheFutureCancelsTheAttempt() throws Exception {
        balancer = manualBalancer().build();
        var given = balancer.dispatch("once", "x");
        PendingAttempt pending = nextAttempt();
        CountDownLatch cancelSeen = new CountDownLatch(1);
        pending.attempt.onCancel(cancelSeen::countDown);
        var dependent = given.thenApply(Outcome::served);
        assertTrue(given.cancel(true));
        assertTrue(cancelSeen.await(20, TimeUnit.SECONDS), "the sender is notified of the cancel");
        pending.answer.complete("late");
        assertThrows(CancellationException.class, given::join);
        assertTrue(dependent.isCompletedExceptionally());
        assertTrue(get(balancer.figures()).contains("\"left\":1,"));
        // Cancelling a dependent stage does not cancel the dispatch.
        var kept = balancer.dispatch("once", "x");
        kept.thenApply(o -> o).cancel(true);
        nextAttempt().answer.complete("y");
        assertTrue(get(kept).served());
    }

    /** A cancel races with the answer: the dispatch ends once and is counted once. */
    @Test
    void cancelRacesWithTheAnswer() throws Exception {
        balancer = manualBalancer().build();
        for (int i = 0; i < 300; i++) {
            var racing = balancer.dispatch("safe", "x");
            PendingAttempt pending = nextAttempt();
            Thread canceller = new Thread(() -> racing.cancel(true));
            canceller.start();
            pending.answer.complete("y");
            canceller.join();
            assertTrue(racing.isDone() || get(racing).served());
        }
        balancer.close(TWENTY_SECONDS);
        String figures = get(balancer.figures());
        int served = figure(figures, "served");
        assertEquals(300, served + figure(figures, "left"), figures);
        assertEquals(0, figure(figures, "faults"));
    }

    private static int figure(String line, String name) {
        var m = java.util.regex.Pattern.compile("\"" + name + "\":(\\d+)").matcher(line);
        assertTrue(m.find(), line);
        return Integer.parseInt(m.group(1));
    }

    @Test
    void outcomeIsDeliveredIfTheExecutorRejects() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        balancer = manualBalancer()
                .executor(task -> {
                    asked.incrementAndGet();
                    throw new RejectedExecutionException("exhausted");
                })
                .build();
        var safe = balancer.dispatch("safe", "x", Duration.ofSeconds(2), null);
        assertInstanceOf(Refused.class, get(safe), "the job never ran, so it may be tried again");
        assertTrue(asked.get() >= 2);
        assertTrue(pendingAttempts.isEmpty());
    }

    /** Callbacks that block occupy only the host's pool, and callbacks that throw have no effect on the balancer. */
    @Test
    void callbacksThatBlockOrThrow() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(2);
        CountDownLatch release = new CountDownLatch(1);
        try {
            balancer = manualBalancer().executor(pool).build();
            var first = balancer.dispatch("safe", "1");
            first.thenAccept(o -> {
                try {
                    release.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            nextAttempt().answer.complete("y");
            get(first);
            for (int i = 0; i < 5; i++) {
                assertTrue(get(balancer.figures()).startsWith("{"), "the loop still runs");
                var other = balancer.dispatch("safe", "2", null, (target, share) -> {
                    throw new IllegalStateException("progress callback that throws");
                });
                PendingAttempt pending = nextAttempt();
                pending.attempt.started();
                pending.attempt.progress(0.5);
                pending.answer.complete("z");
                assertTrue(get(other).served());
            }
        } finally {
            release.countDown();
            pool.shutdown();
        }
    }

    @Test
    void senderThatThrowsOrReturnsNullFailsTheJob() throws Exception {
        balancer = Balancer.<String, String>builder(a -> {
                    if (a.job().equals("null")) {
                        return null;
                    }
                    throw new java.io.IOException("no route");
                })
                .type(NON_IDEMPOTENT)
                .targets(List.of(Target.of("a")))
                .build();
        assertInstanceOf(Failed.class, get(balancer.dispatch("once", "null")));
        assertInstanceOf(Failed.class, get(balancer.dispatch("once", "x")));
    }

    @Test
    void progressIsReported() throws Exception {
        balancer = manualBalancer().build();
        List<String> reported = new ArrayList<>();
        CountDownLatch two = new CountDownLatch(2);
        var job = balancer.dispatch("safe", "x", null, (target, share) -> {
            synchronized (reported) {
                reported.add(target.id() + " " + share);
            }
            two.countDown();
        });
        PendingAttempt pending = nextAttempt();
        pending.attempt.started();
        pending.attempt.progress(0.25);
        pending.attempt.progress(0.5);
        assertThrows(IllegalArgumentException.class, () -> pending.attempt.progress(2));
        assertTrue(two.await(20, TimeUnit.SECONDS));
        pending.answer.complete("y");
        assertTrue(get(job).served());
        synchronized (reported) {
            String id = pending.attempt.target().id();
            assertTrue(reported.contains(id + " 0.25") && reported.contains(id + " 0.5"), reported.toString());
        }
    }

    /** Jobs in flight at a draining or removed target complete, and no new job is sent to it. */
    @Test
    void targetsAreReplacedWhileJobsAreInFlight() throws Exception {
        balancer = manualBalancer().build();
        var one = balancer.dispatch("once", "1");
        var two = balancer.dispatch("once", "2");
        PendingAttempt first = nextAttempt();
        PendingAttempt second = nextAttempt();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        balancer.targets(List.of(first.attempt.target().drain(), Target.of("c")));
        for (int i = 0; i < 20; i++) {
            var later = balancer.dispatch("safe", "n");
            PendingAttempt pending = nextAttempt();
            assertEquals("c", pending.attempt.target().id());
            pending.answer.complete("y");
            assertTrue(get(later).served());
        }
        first.answer.complete("1");
        second.answer.complete("2");
        assertTrue(get(one).served());
        assertTrue(get(two).served());
        balancer.targets(List.of(Target.of("b")));
        var back = balancer.dispatch("once", "3");
        assertEquals("b", nextAttempt().attempt.target().id());
        back.cancel(true);
        assertThrows(IllegalArgumentException.class, () -> balancer.targets(List.of(Target.of("b"), Target.of("b"))));
    }

    @Test
    void keyedRepeatsStayInTheirDeduplicationScope() throws Exception {
        JobType keyed =
                JobType.of("keyed", TWENTY_SECONDS).keyed(JobType.DeduplicationScope.CELL, Duration.ofSeconds(10));
        balancer = Balancer.<String, String>builder(this::recordAttempt)
                .type(keyed)
                .seed(1)
                .targets(List.of(
                        Target.of("a1").in("a", 1),
                        Target.of("a2").in("a", 1),
                        Target.of("b1").in("b", 2)))
                .build();
        for (int i = 0; i < 4; i++) {
            var job = balancer.dispatch("keyed", "x");
            PendingAttempt first = nextAttempt();
            if (first.attempt.target().cell() == 1) {
                first.answer.completeExceptionally(new IllegalStateException("lost"));
                PendingAttempt second = nextAttempt();
                assertEquals(1, second.attempt.target().cell());
                assertNotEquals(first.attempt.target(), second.attempt.target());
                second.answer.complete("y");
                assertTrue(get(job).served());
                return;
            }
            first.answer.complete("y");
            get(job);
        }
        fail("no job was sent to the cell with two targets");
    }

    @Test
    void closeWaitsForJobsInFlightAndRefusesNewOnes() throws Exception {
        balancer = manualBalancer().build();
        var out = balancer.dispatch("once", "x");
        PendingAttempt pending = nextAttempt();
        List<Boolean> ends = new ArrayList<>();
        List<Thread> closers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Thread t = new Thread(() -> {
                boolean all = balancer.close(TWENTY_SECONDS);
                synchronized (ends) {
                    ends.add(all);
                }
            });
            t.start();
            closers.add(t);
        }
        Outcome<String> refused;
        do { // until one of the closing threads has marked the balancer as closed
            var late = balancer.dispatch("safe", "x");
            Thread.sleep(2);
            PendingAttempt taken = pendingAttempts.poll();
            if (taken != null) {
                taken.answer.complete("y");
            }
            refused = get(late);
        } while (refused.served());
        assertEquals(new Refused<String>(java.util.Optional.empty(), "the balancer is closed"), refused);
        synchronized (ends) {
            assertTrue(ends.isEmpty(), "both calls wait for the job in flight");
        }
        pending.answer.complete("y");
        assertTrue(get(out).served());
        for (Thread t : closers) {
            t.join(20_000);
        }
        assertEquals(List.of(true, true), ends);
        assertInstanceOf(Refused.class, get(balancer.dispatch("once", "x")));
        assertTrue(get(balancer.figures()).startsWith("{"));
    }

    @Test
    void closeFailsJobsStillOpenAtTheTimeout() throws Exception {
        balancer = Balancer.<String, String>builder(this::recordAttempt)
                .type(NON_IDEMPOTENT)
                .targets(List.of(Target.of("a").withSlots(1)))
                .build();
        var runs = balancer.dispatch("once", "x");
        nextAttempt();
        assertFalse(balancer.close(Duration.ofMillis(50)));
        assertEquals(new Failed<String>(false, "the balancer is closed"), get(runs), "the job may have run");
    }

    /** A closed balancer leaves no thread behind, and two balancers in one process are independent. */
    @Test
    void closedBalancersLeaveNoThread() throws Exception {
        for (int i = 0; i < 50; i++) {
            try (var one = manualBalancer().build();
                    var two = manualBalancer().build()) {
                var job = one.dispatch("once", "1");
                var other = two.dispatch("once", "2");
                nextAttempt().answer.complete("y");
                nextAttempt().answer.complete("z");
                get(job);
                get(other);
            }
        }
        for (int i = 0; i < 400 && threads() > 0; i++) {
            Thread.sleep(10); // the thread that completed the last outcome may still be exiting
        }
        assertEquals(0, threads());
    }

    private static long threads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("beechseam-"))
                .count();
    }

    /**
     * Eight threads dispatch to sixteen targets that serve, fail or are full: each dispatch has exactly one outcome.
     */
    @Test
    void everyOutcomeIsAccountedFor() throws Exception {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            targets.add(Target.of("t" + i).withSlots(4));
        }
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        AtomicInteger repeatedRuns = new AtomicInteger();
        balancer = Balancer.<String, String>builder(a -> {
                    int pick = new Random(a.job().hashCode() * 31L + a.number()).nextInt(20);
                    if (pick == 0) {
                        throw new NeverRanException(NeverRanException.Reason.FULL, "full");
                    }
                    if (runs.computeIfAbsent(a.job(), j -> new AtomicInteger()).incrementAndGet() > 1
                            && a.job().startsWith("once")) {
                        repeatedRuns.incrementAndGet();
                    }
                    return pick == 1
                            ? CompletableFuture.failedFuture(new IllegalStateException("failed"))
                            : CompletableFuture.completedFuture(a.job());
                })
                .type(IDEMPOTENT)
                .type(NON_IDEMPOTENT)
                .targets(targets)
                .seed(3)
                .build();
        Map<Class<?>, AtomicInteger> ends = new ConcurrentHashMap<>();
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < 8; t++) {
            int number = t;
            Thread thread = new Thread(() -> {
                List<CompletableFuture<?>> all = new ArrayList<>();
                for (int i = 0; i < 2500; i++) {
                    String job = (i % 2 == 0 ? "safe" : "once") + "-" + number + "-" + i;
                    all.add(balancer.dispatch(job.substring(0, 4), job).thenAccept(o -> {
                        ends.computeIfAbsent(o.getClass(), c -> new AtomicInteger())
                                .incrementAndGet();
                        if (o instanceof Served<String> s && !s.value().equals(job)) {
                            wrong.incrementAndGet();
                        }
                    }));
                    if (all.size() >= 32) {
                        CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]))
                                .join();
                        all.clear();
                    }
                }
                CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]))
                        .join();
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread t : threads) {
            t.join(60_000);
        }
        assertEquals(20_000, ends.values().stream().mapToInt(AtomicInteger::get).sum());
        assertEquals(0, wrong.get(), "a dispatch got the answer of another job");
        assertEquals(0, repeatedRuns.get(), "a non-idempotent job ran twice");
        assertTrue(ends.get(Served.class).get() > 18_000, ends.toString());
        String figures = get(balancer.figures());
        assertEquals(20_000, figure(figures, "answered"), figures);
        assertEquals(0, figure(figures, "faults"));
    }

    @Test
    void invalidArgumentsAreRejected() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> JobType.of("t", Duration.ZERO))
                .getMessage()
                .startsWith("job type t: deadline must be above 0"));
        assertThrows(
                IllegalArgumentException.class, () -> IDEMPOTENT.keyed(JobType.DeduplicationScope.ALL, Duration.ZERO));
        assertThrows(IllegalArgumentException.class, () -> IDEMPOTENT.priorityWeight(0, 0));
        assertThrows(IllegalArgumentException.class, () -> Target.of("a").withSlots(-1));
        assertThrows(
                IllegalArgumentException.class,
                () -> Balancer.<String, String>builder(this::recordAttempt).build());
        assertThrows(IllegalArgumentException.class, () -> manualBalancer().type(IDEMPOTENT));
        assertThrows(IllegalArgumentException.class, () -> manualBalancer().attempts(0));
        balancer = manualBalancer().build();
        assertTrue(assertThrows(IllegalArgumentException.class, () -> balancer.dispatch("odd", "x"))
                .getMessage()
                .startsWith("no job type is called odd"));
        assertThrows(IllegalArgumentException.class, () -> balancer.dispatch("safe", "x", Duration.ZERO, null));
    }
}
