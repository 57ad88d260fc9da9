package beechseam.gearman.queue;

/**
 * Which function gets a worker that several of them could use: the one whose most urgent waiting job is of
 * the highest priority, of equals the one that has not had a turn for longest; every {@code ageingTurn}-th
 * time the one whose oldest job has waited longest, if over {@code ageingNs}. A choice is O(contenders).
 */
public final class FunctionTurns<F extends FunctionTurns.Contender> {
    /** A function with waiting jobs. */
    public interface Contender {
        /** Level of its most urgent waiting job, 0 the highest; negative for none. */
        int urgent();

        /** When the oldest that waits came, in nanoseconds; {@code Long.MAX_VALUE} for none. */
        long oldestSince();

        /** The count of turns when it last had one. */
        long lastTurn();

        void hadTurn(long count);
    }

    private final int ageingTurn;
    private final long ageingNs;
    private long count;
    private int turn;
    private F best;
    private F eldest;
    private int bestLevel;
    private long eldestSince;

    public FunctionTurns(int ageingTurn, long ageingNs) {
        this.ageingTurn = ageingTurn;
        this.ageingNs = ageingNs;
    }

    /** Begins a choice. */
    public void begin(long now) {
        best = null;
        eldest = null;
        bestLevel = Integer.MAX_VALUE;
        eldestSince = now - ageingNs;
    }

    /** One that could use the worker. */
    public void offer(F f) {
        int level = f.urgent();
        if (level < bestLevel || level == bestLevel && f.lastTurn() < best.lastTurn()) {
            best = f;
            bestLevel = level;
        }
        if (ageingTurn > 0 && turn + 1 >= ageingTurn && f.oldestSince() < eldestSince) {
            eldest = f;
            eldestSince = f.oldestSince();
        }
    }

    /** Ends it; null when none was offered. */
    public F chosen() {
        F chosen = best;
        if (best != null && ++turn >= ageingTurn) {
            turn = 0;
            chosen = eldest == null ? best : eldest;
        }
        if (chosen != null) {
            chosen.hadTurn(++count);
        }
        return chosen;
    }
}
