package beechseam;

import java.util.List;

/**
 * The whole interface of the decision module: what it is told ({@link Events}), what it can do
 * ({@link Actions}) and the types of both. Times are nanoseconds of the host's clock; a host hands every
 * event the clock's time.
 */
public final class Dispatching {
    private Dispatching() {}

    /** What a repeat of a job does: nothing, nothing within a group of workers for a while, or harm. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which workers drop repeats of a keyed job. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. Some ends prove that the job never ran there. */
    public enum Outcome {
        SERVED(false),
        ERROR(false),
        REFUSED(true),
        TIMEOUT(false),
        UNREACHABLE(true),
        LOST(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** Whether the job certainly did not run; for REFUSED see {@link Rules}. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Where load reports come from. */
    public enum Reports {
        ANSWERS,
        PROBES,
        NONE
    }

    /** What discovery says of a worker: it takes work, it takes nothing new, or it is not listed any more. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** A list: only what changed, all there is, the one held before a restart, or word of a failed call. */
    public enum ListForm {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** A class of jobs; {@code kind} is the only kind of worker that runs it, or null. */
    public record JobClass(
            String name,
            long aimNs,
            long deadlineNs,
            double stretch,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            long windowNs,
            String kind) {}

    /** What the site permits; a connection not used for {@code idleCloseNs} closes. */
    public record Limits(
            int maxAttempts,
            long maxRetryAfterNs,
            boolean retryAfter,
            boolean cancel,
            boolean probes,
            boolean copies,
            long idleCloseNs) {}

    /**
     * The figures of the rules on drains and cold workers; with {@code fullMayHaveRun} a worker may answer
     * {@link Outcome#REFUSED} for work that it had begun, so that end proves nothing.
     */
    public record Rules(
            long drainGraceNs,
            long askWithinNs,
            double startCapacity,
            long coldNs,
            double overloadFactor,
            long overloadForNs,
            boolean fullMayHaveRun) {}

    /**
     * What holds for the life of a dispatcher. {@code groupSize} counts the dispatchers, {@code me} is this
     * one's number, {@code progressNs} is the gap between progress notes (0: none). {@code crossZonePrice} is
     * what a crossing costs as a share of the mean worth, {@code handshakePrice} what a connection does. With
     * {@code worthByWork} a class's worth is that of a unit of its work, else that of a job. With
     * {@code liveWeights} a worker's weight is its size over 1 + what it holds a slot, as of a while ago.
     */
    public record Settings(
            List<JobClass> classes,
            Limits limits,
            Rules rules,
            Reports reports,
            boolean askForList,
            int groupSize,
            int me,
            String zone,
            boolean tellsStart,
            long progressNs,
            double crossZonePrice,
            double handshakePrice,
            double probePrice,
            boolean worthByWork,
            boolean liveWeights) {
        public Settings(
                List<JobClass> classes,
                Limits limits,
                Rules rules,
                Reports reports,
                boolean askForList,
                int groupSize,
                int me,
                String zone,
                boolean tellsStart,
                long progressNs,
                double crossZonePrice,
                double handshakePrice,
                double probePrice,
                boolean worthByWork) {
            this(
                    classes,
                    limits,
                    rules,
                    reports,
                    askForList,
                    groupSize,
                    me,
                    zone,
                    tellsStart,
                    progressNs,
                    crossZonePrice,
                    handshakePrice,
                    probePrice,
                    worthByWork,
                    false);
        }
    }

    /**
     * A job; {@code budgetNs} is what the client still waits, {@code workNs} a rough hint or 0. Of a first
     * try it is known that it is none of a client's retries, for which the aim began earlier.
     */
    public record Job(
            long id, int jobClass, long budgetNs, long workNs, double slots, double memory, boolean firstTry) {
        public Job(long id, int jobClass, long budgetNs, long workNs, double slots, double memory) {
            this(id, jobClass, budgetNs, workNs, slots, memory, false);
        }
    }

    /**
     * A line of the list; {@code bornNs} is the latest start, 0 when long past; {@code weight} a figure of no
     * unit that {@link Settings#liveWeights} gives a meaning, or NaN.
     */
    public record Worker(long id, int cell, String zone, String kind, long bornNs, State state, double weight) {
        public Worker(long id, int cell, String zone, String kind, long bornNs, State state) {
            this(id, cell, zone, kind, bornNs, state, Double.NaN);
        }
    }

    /** A load report; what it does not tell is NaN. {@code held} includes what waits. */
    public record Load(double held, double waiting, double freeSlots, double freeMemory, double utilization) {}

    /** What the host tells the module. */
    public interface Events {
        void list(long now, ListForm form, List<Worker> lines);

        void job(long now, Job job);

        /** An attempt's job left the worker's queue and runs. */
        void started(long now, long job, int attempt);

        void progress(long now, long job, int attempt, double done);

        /** A streamed answer has begun; the attempt is the client's from here. */
        void streaming(long now, long job, int attempt);

        /**
         * The attempt's worker gets no further attempt of the job: what it tells of the two could not be told
         * apart, or a further one could arrive before the call that gives this one up. Told before its end.
         */
        void barWorker(long now, long job, int attempt);

        /** An attempt's end; {@code closed} when the job needs no answer, {@code load} may be null. */
        void ended(long now, long job, int attempt, Outcome outcome, boolean closed, Load load);

        void probed(long now, long worker, boolean answered, Load load);

        /** The client has left; the job needs no answer. */
        void left(long now, long job);

        void wake(long now, long tag);
    }

    /** What the module can do. Attempts of a job are numbered from 0 in the order of {@code send}. */
    public interface Actions {
        void send(long job, long worker, long timeoutNs);

        void cancel(long job, int attempt);

        /** Final answer: not done, harmless to try again after {@code pauseNs}. */
        void refuse(long job, long pauseNs);

        /** Final answer: failed, no promise. */
        void fail(long job);

        void probe(long worker);

        void wakeIn(long offsetNs, long tag);

        void watchList();

        void log(String text);
    }
}
