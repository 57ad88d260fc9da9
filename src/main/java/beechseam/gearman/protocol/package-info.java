/**
 * Gearman's binary protocol: the packets, what they carry, and a decoder that takes them from slices of a
 * read buffer. It knows nothing of jobs, sessions or sockets and may use {@code java.*} only. Used by the
 * Gearman front, the conformance suite and the stand-ins of the tests.
 */
package beechseam.gearman.protocol;
