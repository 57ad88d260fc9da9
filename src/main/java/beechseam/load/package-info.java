/**
 * Load generators with simulated clients and workers. The Gearman scenarios use real sockets against a server
 * process that they start, and produce the figures in {@code docs/GEARMAN-MEASURED.md}. This package may use
 * {@code net} and {@code gearman.protocol}; only {@code cli} uses it. CI runs only a few seconds of each
 * scenario.
 */
package beechseam.load;
