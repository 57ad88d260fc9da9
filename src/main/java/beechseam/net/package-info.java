/**
 * Transport: an event loop on a thread of its own, connections with callbacks, a listener, pooled read buffers
 * and a queue of timers. It knows no protocol, uses only the timers of {@code core}, and may be used by every
 * protocol's package. All types are for the loop's thread, except where a method says otherwise.
 */
package beechseam.net;
