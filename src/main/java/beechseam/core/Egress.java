package beechseam.core;

/**
 * The way to the egress targets. Every hop handed over is reported once to {@link Engine#ended}, also one
 * that fails at once, but for those cancelled.
 */
public interface Egress {
    void send(Hop hop);

    /** The node no longer waits for the hop; nothing more is owed for it. */
    void cancel(Hop hop);

    /** Ask the target for its load; {@link Engine#probed} is owed once. */
    void probe(long target);
}
