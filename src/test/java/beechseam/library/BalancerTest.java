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

/** The library's front door, with senders that do what real ones might. */
class BalancerTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final JobType SAFE = JobType.of("safe", LONG).idempotent();
    private static final JobType ONCE = JobType.of("once", LONG);

    /** Attempts that wait for the test to end them. */
    private final ConcurrentLinkedQueue<Held> held = new ConcurrentLinkedQueue<>();

    private Balancer<String, String> balancer;

    private record Held(Sender.Attempt<String> attempt, CompletableFuture<String> answer) {}

    private CompletableFuture<String> hold(Sender.Attempt<String> attempt) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        held.add(new Held(attempt, answer));
        return answer;
    }

    private Balancer.Builder<String, String> holding() {
        return Balancer.<String, String>builder(this::hold)
                .type(SAFE)
                .type(ONCE)
                .seed(7)
                .targets(List.of(Target.of("a"), Target.of("b")));
    }

    private Held next() throws Exception {
        for (long end = System.nanoTime() + 20_000_000_000L; System.nanoTime() < end; Thread.sleep(1)) {
            Held h = held.poll();
            if (h != null) {
                return h;
            }
        }
        return fail("no attempt came");
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
    void tenLinesAreEnough() throws Exception {
        balancer = Balancer.<String, String>builder(a -> CompletableFuture.completedFuture(a.job() + " done"))
                .type(JobType.of("mail", Duration.ofSeconds(5)))
                .targets(List.of(Target.of("a")))
                .build();
        assertEquals(new Served<>("letter done", "a", 1), get(balancer.dispatch("mail", "letter")));
    }

    @Test
    void aSafeJobThatFailsRunsElsewhereAndAnUnsafeOneDoesNot() throws Exception {
        balancer = holding().build();
        var safe = balancer.dispatch("safe", "x");
        Held first = next();
        first.answer.completeExceptionally(new IllegalStateException("broken"));
        Held second = next();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        assertEquals(2, second.attempt.number());
        second.answer.complete("y");
        assertEquals(new Served<>("y", second.attempt.target().id(), 2), get(safe));
        var once = balancer.dispatch("once", "x");
        next().answer.completeExceptionally(new IllegalStateException("broken"));
        assertInstanceOf(Failed.class, get(once));
        assertTrue(held.isEmpty());
    }

    @Test
    void whatNeverRanGoesElsewhereWhateverARepeatDoes() throws Exception {
        balancer = holding().build();
        var once = balancer.dispatch("once", "x");
        Held first = next();
        first.answer.completeExceptionally(new NeverRanException(NeverRanException.Reason.FULL, "full"));
        Held second = next();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        second.answer.complete("y");
        assertTrue(get(once).served());
    }

    @Test
    void nobodyCanDoIt() throws Exception {
        balancer = Balancer.<String, String>builder(this::hold)
                .type(JobType.of("short", Duration.ofMillis(300)))
                .retryAfter(Duration.ofMillis(1500))
                .build();
        Refused<String> refused = (Refused<String>) get(balancer.dispatch("short", "x"));
        assertEquals(Duration.ofMillis(1500), refused.retryAfter().orElseThrow());
    }

    @Test
    void timeRunsOutWhileATargetHoldsIt() throws Exception {
        balancer = holding().build();
        long start = System.nanoTime();
        var late = balancer.dispatch("once", "x", Duration.ofMillis(300), null);
        Held h = next();
        AtomicInteger cancelled = new AtomicInteger();
        h.attempt.onCancel(cancelled::incrementAndGet);
        Outcome<String> outcome = get(late);
        assertTrue(outcome instanceof Failed<String> f && f.late(), outcome.toString());
        assertTrue(System.nanoTime() - start >= 200_000_000L);
        h.answer.complete("too late");
        assertEquals(outcome, get(late));
        assertTrue(h.attempt.cancelled());
        h.attempt.onCancel(cancelled::incrementAndGet);
        for (int i = 0; i < 2000 && cancelled.get() < 2; i++) {
            Thread.sleep(5);
        }
        assertEquals(2, cancelled.get(), "before and after the cancel");
    }

    @Test
    void cancellingTheFutureGivesItUp() throws Exception {
        balancer = holding().build();
        var given = balancer.dispatch("once", "x");
        Held h = next();
        CountDownLatch told = new CountDownLatch(1);
        h.attempt.onCancel(told::countDown);
        var dependent = given.thenApply(Outcome::served);
        assertTrue(given.cancel(true));
        assertTrue(told.await(20, TimeUnit.SECONDS), "the sender is told");
        h.answer.complete("late");
        assertThrows(CancellationException.class, given::join);
        assertTrue(dependent.isCompletedExceptionally());
        assertTrue(get(balancer.figures()).contains("\"left\":1,"));
        // A dependent stage is the host's own: cancelling it says nothing of the dispatch.
        var kept = balancer.dispatch("once", "x");
        kept.thenApply(o -> o).cancel(true);
        next().answer.complete("y");
        assertTrue(get(kept).served());
    }

    /** Whichever comes first: one end, and the balancer counts it once. */
    @Test
    void cancelRacesWithTheAnswer() throws Exception {
        balancer = holding().build();
        for (int i = 0; i < 300; i++) {
            var racing = balancer.dispatch("safe", "x");
            Held h = next();
            Thread canceller = new Thread(() -> racing.cancel(true));
            canceller.start();
            h.answer.complete("y");
            canceller.join();
            assertTrue(racing.isDone() || get(racing).served());
        }
        balancer.close(LONG);
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
    void anExecutorThatRefusesCostsNoOutcome() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        balancer = holding()
                .executor(task -> {
                    asked.incrementAndGet();
                    throw new RejectedExecutionException("exhausted");
                })
                .build();
        var safe = balancer.dispatch("safe", "x", Duration.ofSeconds(2), null);
        assertInstanceOf(Refused.class, get(safe), "it never ran, so it may come again");
        assertTrue(asked.get() >= 2);
        assertTrue(held.isEmpty());
    }

    /** Callbacks that block hold up the host's own pool alone; those that throw hold up nothing. */
    @Test
    void callbacksThatBlockOrThrow() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(2);
        CountDownLatch release = new CountDownLatch(1);
        try {
            balancer = holding().executor(pool).build();
            var first = balancer.dispatch("safe", "1");
            first.thenAccept(o -> {
                try {
                    release.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            next().answer.complete("y");
            get(first);
            for (int i = 0; i < 5; i++) {
                assertTrue(get(balancer.figures()).startsWith("{"), "the loop goes on");
                var other = balancer.dispatch("safe", "2", null, (target, share) -> {
                    throw new IllegalStateException("a listener that throws");
                });
                Held h = next();
                h.attempt.started();
                h.attempt.progress(0.5);
                h.answer.complete("z");
                assertTrue(get(other).served());
            }
        } finally {
            release.countDown();
            pool.shutdown();
        }
    }

    @Test
    void aSenderThatThrowsOrGivesNothing() throws Exception {
        balancer = Balancer.<String, String>builder(a -> {
                    if (a.job().equals("null")) {
                        return null;
                    }
                    throw new java.io.IOException("no route");
                })
                .type(ONCE)
                .targets(List.of(Target.of("a")))
                .build();
        assertInstanceOf(Failed.class, get(balancer.dispatch("once", "null")));
        assertInstanceOf(Failed.class, get(balancer.dispatch("once", "x")));
    }

    @Test
    void progressIsTold() throws Exception {
        balancer = holding().build();
        List<String> told = new ArrayList<>();
        CountDownLatch two = new CountDownLatch(2);
        var job = balancer.dispatch("safe", "x", null, (target, share) -> {
            synchronized (told) {
                told.add(target.id() + " " + share);
            }
            two.countDown();
        });
        Held h = next();
        h.attempt.started();
        h.attempt.progress(0.25);
        h.attempt.progress(0.5);
        assertThrows(IllegalArgumentException.class, () -> h.attempt.progress(2));
        assertTrue(two.await(20, TimeUnit.SECONDS));
        h.answer.complete("y");
        assertTrue(get(job).served());
        synchronized (told) {
            String id = h.attempt.target().id();
            assertTrue(told.contains(id + " 0.25") && told.contains(id + " 0.5"), told.toString());
        }
    }

    /** What runs at a target that drains or is gone runs on; nothing new goes there. */
    @Test
    void targetsReplacedWhileJobsAreOut() throws Exception {
        balancer = holding().build();
        var one = balancer.dispatch("once", "1");
        var two = balancer.dispatch("once", "2");
        Held first = next();
        Held second = next();
        assertNotEquals(first.attempt.target(), second.attempt.target());
        balancer.targets(List.of(first.attempt.target().drain(), Target.of("c")));
        for (int i = 0; i < 20; i++) {
            var later = balancer.dispatch("safe", "n");
            Held h = next();
            assertEquals("c", h.attempt.target().id());
            h.answer.complete("y");
            assertTrue(get(later).served());
        }
        first.answer.complete("1");
        second.answer.complete("2");
        assertTrue(get(one).served());
        assertTrue(get(two).served());
        balancer.targets(List.of(Target.of("b")));
        var back = balancer.dispatch("once", "3");
        assertEquals("b", next().attempt.target().id());
        back.cancel(true);
        assertThrows(IllegalArgumentException.class, () -> balancer.targets(List.of(Target.of("b"), Target.of("b"))));
    }

    @Test
    void keyedRepeatsStayInTheirGroup() throws Exception {
        JobType keyed = JobType.of("keyed", LONG).keyed(JobType.DeduplicationScope.CELL, Duration.ofSeconds(10));
        balancer = Balancer.<String, String>builder(this::hold)
                .type(keyed)
                .seed(1)
                .targets(List.of(
                        Target.of("a1").in("a", 1),
                        Target.of("a2").in("a", 1),
                        Target.of("b1").in("b", 2)))
                .build();
        for (int i = 0; i < 4; i++) {
            var job = balancer.dispatch("keyed", "x");
            Held first = next();
            if (first.attempt.target().cell() == 1) {
                first.answer.completeExceptionally(new IllegalStateException("lost"));
                Held second = next();
                assertEquals(1, second.attempt.target().cell());
                assertNotEquals(first.attempt.target(), second.attempt.target());
                second.answer.complete("y");
                assertTrue(get(job).served());
                return;
            }
            first.answer.complete("y");
            get(job);
        }
        fail("no job went to the cell of two");
    }

    @Test
    void theEndWaitsForWhatIsOutAndTakesNothingNew() throws Exception {
        balancer = holding().build();
        var out = balancer.dispatch("once", "x");
        Held h = next();
        List<Boolean> ends = new ArrayList<>();
        List<Thread> closers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Thread t = new Thread(() -> {
                boolean all = balancer.close(LONG);
                synchronized (ends) {
                    ends.add(all);
                }
            });
            t.start();
            closers.add(t);
        }
        Outcome<String> refused;
        do { // until one of the closers has got so far
            var late = balancer.dispatch("safe", "x");
            Thread.sleep(2);
            Held taken = held.poll();
            if (taken != null) {
                taken.answer.complete("y");
            }
            refused = get(late);
        } while (refused.served());
        assertEquals(new Refused<String>(java.util.Optional.empty(), "the balancer is closed"), refused);
        synchronized (ends) {
            assertTrue(ends.isEmpty(), "both wait for the job that is out");
        }
        h.answer.complete("y");
        assertTrue(get(out).served());
        for (Thread t : closers) {
            t.join(20_000);
        }
        assertEquals(List.of(true, true), ends);
        assertInstanceOf(Refused.class, get(balancer.dispatch("once", "x")));
        assertTrue(get(balancer.figures()).startsWith("{"));
    }

    @Test
    void theEndAnswersWhatIsLeft() throws Exception {
        balancer = Balancer.<String, String>builder(this::hold)
                .type(ONCE)
                .targets(List.of(Target.of("a").withSlots(1)))
                .build();
        var runs = balancer.dispatch("once", "x");
        next();
        assertFalse(balancer.close(Duration.ofMillis(50)));
        assertEquals(new Failed<String>(false, "the balancer is closed"), get(runs), "it may have run");
    }

    /** Each balancer leaves nothing behind, and two in one process do not touch. */
    @Test
    void noThreadIsLeft() throws Exception {
        for (int i = 0; i < 50; i++) {
            try (var one = holding().build();
                    var two = holding().build()) {
                var job = one.dispatch("once", "1");
                var other = two.dispatch("once", "2");
                next().answer.complete("y");
                next().answer.complete("z");
                get(job);
                get(other);
            }
        }
        for (int i = 0; i < 400 && threads() > 0; i++) {
            Thread.sleep(10); // the thread that answered may be on its last step
        }
        assertEquals(0, threads());
    }

    private static long threads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("beechseam-"))
                .count();
    }

    /** Eight threads, sixteen targets that serve, fail,
     * refuse or are full: each dispatch has its one outcome. */
    @Test
    void everyOutcomeIsAccountedFor() throws Exception {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            targets.add(Target.of("t" + i).withSlots(4));
        }
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        AtomicInteger twice = new AtomicInteger();
        balancer = Balancer.<String, String>builder(a -> {
                    int pick = new Random(a.job().hashCode() * 31L + a.number()).nextInt(20);
                    if (pick == 0) {
                        throw new NeverRanException(NeverRanException.Reason.FULL, "full");
                    }
                    if (runs.computeIfAbsent(a.job(), j -> new AtomicInteger()).incrementAndGet() > 1
                            && a.job().startsWith("once")) {
                        twice.incrementAndGet();
                    }
                    return pick == 1
                            ? CompletableFuture.failedFuture(new IllegalStateException("failed"))
                            : CompletableFuture.completedFuture(a.job());
                })
                .type(SAFE)
                .type(ONCE)
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
        assertEquals(0, wrong.get(), "each has its own answer");
        assertEquals(0, twice.get(), "an unsafe job ran twice");
        assertTrue(ends.get(Served.class).get() > 18_000, ends.toString());
        String figures = get(balancer.figures());
        assertEquals(20_000, figure(figures, "answered"), figures);
        assertEquals(0, figure(figures, "faults"));
    }

    @Test
    void whatIsWrongIsNamed() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> JobType.of("t", Duration.ZERO))
                .getMessage()
                .startsWith("job type t: deadline must be above 0"));
        assertThrows(IllegalArgumentException.class, () -> SAFE.keyed(JobType.DeduplicationScope.ALL, Duration.ZERO));
        assertThrows(IllegalArgumentException.class, () -> SAFE.priorityWeight(0, 0));
        assertThrows(IllegalArgumentException.class, () -> Target.of("a").withSlots(-1));
        assertThrows(
                IllegalArgumentException.class,
                () -> Balancer.<String, String>builder(this::hold).build());
        assertThrows(IllegalArgumentException.class, () -> holding().type(SAFE));
        assertThrows(IllegalArgumentException.class, () -> holding().attempts(0));
        balancer = holding().build();
        assertTrue(assertThrows(IllegalArgumentException.class, () -> balancer.dispatch("odd", "x"))
                .getMessage()
                .startsWith("no job type is called odd"));
        assertThrows(IllegalArgumentException.class, () -> balancer.dispatch("safe", "x", Duration.ZERO, null));
    }
}
