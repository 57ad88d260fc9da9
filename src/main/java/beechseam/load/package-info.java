/**
 * Load on real sockets, with stand-in clients and workers of its own, against a server process that it
 * starts: what the figures in {@code docs/GEARMAN-MEASURED.md} come from. It may use {@code net} and
 * {@code gearman.protocol}; only {@code cli} uses it. Nothing of it runs in CI but a few seconds of each
 * scenario.
 */
package beechseam.load;
