/**
 * Sockets: one event loop on a thread of its own, connections with callbacks, a listener, read buffers and
 * a queue of timers. It knows no protocol, and uses {@code core} for its timers alone.
 */
package beechseam.net;
