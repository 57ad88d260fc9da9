package beechseam.net;

/** The states of a connection, in this order; an accepted connection starts as open. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    CLOSED
}
