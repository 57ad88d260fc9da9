/**
 * A conformance suite for Gearman job servers: transcripts in text files (the grammar is
 * {@code Transcript.g4}), run against any server on a loopback address. The package depends on the protocol's
 * packets and the event loop but not on this project's own server; only {@code cli} and the tests use it.
 */
package beechseam.conformance;
