/**
 * A conformance suite for Gearman job servers: transcripts in text files (the grammar is
 * {@code Transcript.g4}), played against any server on a loopback address. It knows the protocol's packets
 * and the event loop, and nothing of this project's own server; only {@code cli} and the tests use it.
 */
package beechseam.conformance;
