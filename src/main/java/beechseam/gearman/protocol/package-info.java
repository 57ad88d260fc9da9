/**
 * Gearman's binary protocol: the packet types, their arguments, and a decoder that reads packets from a read
 * buffer. The package is independent of jobs, sessions and sockets and depends on {@code java.*} only. Used by the
 * Gearman front end, the conformance suite and the clients and workers of the tests.
 */
package beechseam.gearman.protocol;
