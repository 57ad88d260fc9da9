package beechseam.net;

/** The life of a connection, in this order; an accepted one begins open. */
enum ConnectionState {
    CONNECTING,
    OPEN,
    CLOSED
}
