package beechseam.gearman.queue;

/**
 * Shares a bound among clients: a client may hold up to {@link #FACTOR} times what is free. One client alone gets eight
 * ninths of the bound, n clients that want more than there is get equal shares, and a part always stays free for a
 * client that holds little. No client has a fixed share that it might not use (Choudhury and Hahne, "Dynamic queue
 * length thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998).
 */
final class DynamicThreshold {
    /** How many times the free part of a bound a client may hold. */
    static final int FACTOR = 8;

    private DynamicThreshold() {}

    /**
     * Whether a client may take more of a bound. A client that holds nothing may take whatever is free.
     *
     * @param held   what the client holds already
     * @param amount what it wants besides
     * @param free   what no client holds
     */
    static boolean allows(long held, long amount, long free) {
        return held == 0 || held + amount <= FACTOR * free;
    }
}
