package beechseam.core;

/**
 * Whether the route table may be acted on. The engine asks before it offers a request to the module and
 * before an attempt's first byte; what may not go yet waits until {@link Engine#resumeDeferred}.
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

    /** How long until it opens at the latest, as far as is known, in nanoseconds; 0 where it is open. */
    long opensWithinNs();
}
