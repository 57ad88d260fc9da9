package beechseam.load;

import beechseam.library.Balancer;
import beechseam.library.JobType;
import beechseam.library.NeverRanException;
import beechseam.library.Outcome;
import beechseam.library.Sender;
import beechseam.library.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Load on the library with simulated workers in the same process; every dispatch is accounted for. */
public final class LibraryLoad {
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final int MAX_OUTSTANDING = 512;
    private static final long MAX_RUN_TIME_NS = 4_000_000L;

    private final Consumer<String> progress;

    /** @param progress receives a line of text on the number of dispatches so far */
    public LibraryLoad(Consumer<String> progress) {
        this.progress = progress;
    }

    /**
     * Dispatches from several threads to simulated workers that serve, fail, refuse as full, answer slowly or
     * never answer.
     *
     * @return figures by name; "wrong" counts dispatches without an outcome or with the value of another job,
     *     non-idempotent jobs that ran twice, and a mismatch with the balancer's own counters
     */
    public Map<String, Object> accounts(int dispatches, int threads, int workers, long seed) throws Exception {
        AtomicIntegerArray runs = new AtomicIntegerArray(dispatches);
        LongAdder served = new LongAdder();
        LongAdder refused = new LongAdder();
        LongAdder failed = new LongAdder();
        LongAdder wrong = new LongAdder();
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, task -> {
            Thread t = new Thread(task, "load-workers");
            t.setDaemon(true);
            return t;
        });
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            targets.add(Target.of("w" + i).withSlots(32));
        }
        Sender<Integer, Integer> sender = attempt -> work(attempt, runs, scheduler, seed);
        long start = System.nanoTime();
        Map<String, Object> figures = new LinkedHashMap<>();
        try (Balancer<Integer, Integer> balancer = Balancer.builder(sender)
                .type(JobType.of("safe", DEADLINE).idempotent())
                .type(JobType.of("once", DEADLINE))
                .targets(targets)
                .seed(seed)
                .build()) {
            List<Thread> all = new ArrayList<>();
            for (int t = 0; t < threads; t++) {
                int first = t;
                Thread thread = new Thread(
                        () -> {
                            Semaphore permits = new Semaphore(MAX_OUTSTANDING / threads);
                            for (int i = first; i < dispatches; i += threads) {
                                int job = i;
                                permits.acquireUninterruptibly();
                                balancer.dispatch(job % 2 == 0 ? "safe" : "once", job)
                                        .whenComplete((o, e) -> {
                                            if (o instanceof Outcome.Served<Integer> s && s.value() == job) {
                                                served.increment();
                                            } else if (o instanceof Outcome.Refused) {
                                                refused.increment();
                                            } else if (o instanceof Outcome.Failed) {
                                                failed.increment();
                                            } else {
                                                wrong.increment();
                                            }
                                            permits.release();
                                        });
                                if (job > 0 && job % 200_000 == 0) {
                                    progress.accept(job + " dispatched");
                                }
                            }
                            permits.acquireUninterruptibly(MAX_OUTSTANDING / threads);
                        },
                        "load-" + t);
                thread.start();
                all.add(thread);
            }
            for (Thread thread : all) {
                thread.join();
            }
            long elapsedNs = System.nanoTime() - start;
            String counters = balancer.figures().get(20, TimeUnit.SECONDS);
            int ranTwice = 0;
            for (int i = 1; i < dispatches; i += 2) {
                ranTwice += runs.get(i) > 1 ? 1 : 0;
            }
            long ended = served.sum() + refused.sum() + failed.sum();
            boolean countersAgree = ServerProcess.figure(counters, "taken") == dispatches
                    && ServerProcess.figure(counters, "served") == served.sum()
                    && ServerProcess.figure(counters, "faults") == 0;
            figures.put("dispatches", dispatches);
            figures.put("served", served.sum());
            figures.put("refused", refused.sum());
            figures.put("failed", failed.sum());
            figures.put("ran_twice_that_may_not", ranTwice);
            figures.put("wrong", wrong.sum() + ranTwice + (ended == dispatches ? 0 : 1) + (countersAgree ? 0 : 1));
            figures.put("per_s", Math.round(dispatches * 1e9 / elapsedNs));
        } finally {
            scheduler.shutdownNow();
        }
        return figures;
    }

    /**
     * A simulated worker. Its behaviour is drawn from the seed, the job's number and the attempt's number, so that
     * each run with the same seed draws the same.
     */
    private static CompletionStage<Integer> work(
            Sender.Attempt<Integer> attempt, AtomicIntegerArray runs, ScheduledExecutorService scheduler, long seed)
            throws Exception {
        int job = attempt.job();
        SplittableRandom random = new SplittableRandom(seed ^ job * 0x9E3779B97F4A7C15L + attempt.number());
        int pick = random.nextInt(10_000);
        if (pick < 100) {
            throw new NeverRanException(NeverRanException.Reason.FULL, "full");
        }
        runs.incrementAndGet(job);
        attempt.started();
        if (pick < 200) {
            throw new IllegalStateException("failed");
        }
        CompletableFuture<Integer> answer = new CompletableFuture<>();
        if (pick < 9_000) {
            answer.complete(job);
        } else if (pick < 9_999) {
            scheduler.schedule(() -> answer.complete(job), random.nextLong(MAX_RUN_TIME_NS), TimeUnit.NANOSECONDS);
        } // otherwise the worker never answers
        return answer;
    }

    /**
     * Measures the time that the library adds to a dispatch. Dispatches run one at a time to a sender that answers
     * at once, so that all of the time is the library's own: two hand-overs to its thread and one to the executor.
     */
    public Map<String, Object> overhead(int dispatches) throws Exception {
        Histogram times = new ConcurrentHistogram(10_000_000_000L, 3);
        try (Balancer<Integer, Integer> balancer = Balancer.<Integer, Integer>builder(
                        a -> CompletableFuture.completedFuture(a.job()))
                .type(JobType.of("once", DEADLINE))
                .targets(List.of(Target.of("a"), Target.of("b")))
                .build()) {
            for (int i = 0; i < dispatches * 2; i++) {
                long start = System.nanoTime();
                balancer.dispatch("once", i).get();
                if (i >= dispatches) { // the first half is the warm-up
                    times.recordValue(System.nanoTime() - start);
                }
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("dispatches", dispatches);
        figures.put("median_us", times.getValueAtPercentile(50) / 100 / 10.0);
        figures.put("p99_us", times.getValueAtPercentile(99) / 100 / 10.0);
        return figures;
    }
}
