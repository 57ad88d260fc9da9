package beechseam.gearman.queue;

/**
 * Which function gets a worker that several of them could use: the one whose most urgent waiting job is of
 * the highest priority, of equals the one that has not had a turn for longest; every {@code ageingTurn}-th
 * time the one whose oldest job has waited longest, if over {@code ageingNs}. A choice is O(contenders).
 */
public final class FunctionArbiter<F extends FunctionArbiter.Contender> {
    /** A function with waiting jobs. */
    public interface Contender {
        /** Level of its most urgent waiting job, 0 the highest; negative for none. */
        int mostUrgentLevel();

        /** When the oldest that waits came, in nanoseconds; {@code Long.MAX_VALUE} for none. */
        long oldestEnqueuedAtNs();

        /** The count of turns when it last had one. */
        long lastTurn();

        /** It has been selected, as that turn. */
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
     * @param ageingTurn every how many selections age decides; 0: never
     * @param ageingNs   age below which an oldest job has no claim, in nanoseconds
     */
    public FunctionArbiter(int ageingTurn, long ageingNs) {
        this.ageingTurn = ageingTurn;
        this.ageingNs = ageingNs;
    }

    /** Begins a selection at that time of the host's clock, in nanoseconds. */
    public void beginSelection(long nowNs) {
        best = null;
        oldest = null;
        bestLevel = Integer.MAX_VALUE;
        oldestAtNs = nowNs - ageingNs;
    }

    /** A function that could use the worker. */
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

    /** Ends the selection: the function that gets the worker, or null when none was offered. */
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
