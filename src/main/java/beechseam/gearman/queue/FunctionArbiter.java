package beechseam.gearman.queue;

/**
 * Selects the function that gets a worker which several functions could use. The function whose most urgent
 * queued job has the highest priority wins; among equals, the one selected least recently. Every
 * {@code ageingTurn}-th selection goes to the function whose oldest job has waited longest, if it has waited for
 * more than {@code ageingNs}. A selection is O(contenders).
 */
public final class FunctionArbiter<F extends FunctionArbiter.Contender> {
    /** A function with queued jobs. */
    public interface Contender {
        /** Level of its most urgent queued job, where 0 is the most urgent; negative if it has none. */
        int mostUrgentLevel();

        /** When its oldest queued job was enqueued, in nanoseconds; {@code Long.MAX_VALUE} if it has none. */
        long oldestEnqueuedAtNs();

        /** The number of the selection that it last won, as given to {@link #recordTurn}. */
        long lastTurn();

        /** Records that it won the selection of that number. */
        void recordTurn(long count);
    }

    private final int ageingTurn;
    private final long ageingNs;
    private long count;
    private int turn;
    private F best;
    private F oldest;
    private int bestLevel;
    private long oldestAtNs;

    /**
     * @param ageingTurn number of selections of which one is decided by age; 0 for none
     * @param ageingNs   age above which a job may win a selection by age, in nanoseconds
     */
    public FunctionArbiter(int ageingTurn, long ageingNs) {
        this.ageingTurn = ageingTurn;
        this.ageingNs = ageingNs;
    }

    /** Begins a selection at a time of the host's clock, in nanoseconds. */
    public void beginSelection(long nowNs) {
        best = null;
        oldest = null;
        bestLevel = Integer.MAX_VALUE;
        oldestAtNs = nowNs - ageingNs;
    }

    /** Adds a function that could use the worker to the selection. */
    public void offer(F contender) {
        int level = contender.mostUrgentLevel();
        if (level < bestLevel || level == bestLevel && contender.lastTurn() < best.lastTurn()) {
            best = contender;
            bestLevel = level;
        }
        if (ageingTurn > 0 && turn + 1 >= ageingTurn && contender.oldestEnqueuedAtNs() < oldestAtNs) {
            oldest = contender;
            oldestAtNs = contender.oldestEnqueuedAtNs();
        }
    }

    /** Ends the selection and returns the function that gets the worker, or null if none was offered. */
    public F select() {
        F selected = best;
        if (best != null && ++turn >= ageingTurn) {
            turn = 0;
            selected = oldest == null ? best : oldest;
        }
        if (selected != null) {
            selected.recordTurn(++count);
        }
        return selected;
    }
}
