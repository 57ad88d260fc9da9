package beechseam.core;

/**
 * The way to the egress targets. Every hop handed over is reported once to {@link Engine#ended}, also one
 * that fails at once, but for those cancelled.
 */
public interface Egress {
    void send(Hop hop);

    /** The node no longer waits for the hop; nothing more is owed for it. */
    void cancel(Hop hop);

    /**
     * Takes back a hop whose request goes on, and may have but one hop out. True: it is given up as by
     * {@link #cancel}. False: its end, CANCELLED or what it came to meanwhile, is still owed to
     * {@link Engine#ended}, so that no other is sent while the target may hold this one.
     */
    default boolean takeBack(Hop hop) {
        cancel(hop);
        return true;
    }

    /** Ask the target for its load; {@link Engine#probed} is owed once. */
    void probe(long target);
}
