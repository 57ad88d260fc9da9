package beechseam.core;

/**
 * Decides whether the route table is current enough to send by it. The engine checks the gate before it offers a
 * request to the dispatcher, before it passes an attempt or a health check to the egress, and before an attempt's first
 * byte. While the gate is closed, this work is deferred until {@link Engine#resumeDeferred}.
 */
public interface SendGate {
    /** The gate of hosts whose route table is always current. */
    SendGate ALWAYS_OPEN = new SendGate() {
        @Override
        public boolean open() {
            return true;
        }

        @Override
        public long opensWithinNs() {
            return 0;
        }
    };

    /** Whether requests may be sent now. May first apply pending updates of the route table to the engine. */
    boolean open();

    /** The longest time until the gate opens, as far as is known, in nanoseconds; 0 if it is open. */
    long opensWithinNs();
}
