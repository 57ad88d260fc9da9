/**
 * Transport: an event loop on its own thread, connections with callbacks, a listener, pooled read buffers and a timer
 * queue. The package is independent of any protocol, uses only the timers of {@code core}, and may be used by every
 * protocol package. All types must be used on the loop's thread only, except where a method documents otherwise.
 */
package beechseam.net;
