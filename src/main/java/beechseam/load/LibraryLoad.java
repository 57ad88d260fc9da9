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

/** The library under load, with stand-in workers in the same process, and the accounts of every dispatch. */
public final class LibraryLoad {
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final int OUTSTANDING = 512;
    private static final long SLOWEST_NS = 4_000_000L;

    private final Consumer<String> progress;

    /** @param progress is told how far it is */
    public LibraryLoad(Consumer<String> progress) {
        this.progress = progress;
    }

    /**
     * Dispatches from several threads through stand-in workers that serve, fail, are full, are slow, or never
     * answer.
     *
     * @return figures by name; "wrong" counts dispatches with no outcome or with another's value, unsafe jobs
     *     that ran twice, and what the balancer's own counters have otherwise
     */
    public Map<String, Object> accounts(int dispatches, int threads, int workers, long seed) throws Exception {
        AtomicIntegerArray runs = new AtomicIntegerArray(dispatches);
        LongAdder served = new LongAdder();
        LongAdder refused = new LongAdder();
        LongAdder failed = new LongAdder();
        LongAdder wrong = new LongAdder();
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, task -> {
            Thread t = new Thread(task, "load-workers");
            t.setDaemon(true);
            return t;
        });
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            targets.add(Target.of("w" + i).withSlots(32));
        }
        Sender<Integer, Integer> sender = attempt -> work(attempt, runs, clock, seed);
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
                            Semaphore room = new Semaphore(OUTSTANDING / threads);
                            for (int i = first; i < dispatches; i += threads) {
                                int job = i;
                                room.acquireUninterruptibly();
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
                                            room.release();
                                        });
                                if (job > 0 && job % 200_000 == 0) {
                                    progress.accept(job + " dispatched");
                                }
                            }
                            room.acquireUninterruptibly(OUTSTANDING / threads);
                        },
                        "load-" + t);
                thread.start();
                all.add(thread);
            }
            for (Thread thread : all) {
                thread.join();
            }
            long took = System.nanoTime() - start;
            String counters = balancer.figures().get(20, TimeUnit.SECONDS);
            int twice = 0;
            for (int i = 1; i < dispatches; i += 2) {
                twice += runs.get(i) > 1 ? 1 : 0;
            }
            long ended = served.sum() + refused.sum() + failed.sum();
            boolean agree = ServerProcess.figure(counters, "taken") == dispatches
                    && ServerProcess.figure(counters, "served") == served.sum()
                    && ServerProcess.figure(counters, "faults") == 0;
            figures.put("dispatches", dispatches);
            figures.put("served", served.sum());
            figures.put("refused", refused.sum());
            figures.put("failed", failed.sum());
            figures.put("ran_twice_that_may_not", twice);
            figures.put("wrong", wrong.sum() + twice + (ended == dispatches ? 0 : 1) + (agree ? 0 : 1));
            figures.put("per_s", Math.round(dispatches * 1e9 / took));
        } finally {
            clock.shutdownNow();
        }
        return figures;
    }

    /**
     * A stand-in worker; what it does with a job is drawn from the job's number, so each run draws the same.
     */
    private static CompletionStage<Integer> work(
            Sender.Attempt<Integer> attempt, AtomicIntegerArray runs, ScheduledExecutorService clock, long seed)
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
            clock.schedule(() -> answer.complete(job), random.nextLong(SLOWEST_NS), TimeUnit.NANOSECONDS);
        } // else it never answers
        return answer;
    }

    /**
     * What a dispatch adds: one at a time, to a sender that answers at once, so that all the time is the
     * library's own: two hand-overs to its thread and one to the executor.
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
                if (i >= dispatches) { // the first half warms up
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
