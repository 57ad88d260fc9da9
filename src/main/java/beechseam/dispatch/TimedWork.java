package beechseam.dispatch;

/**
 * Work that was sent to a worker while it warmed up.
 *
 * @param sentAtNs when, by the host's clock, in nanoseconds; a double, as ages are handed from process to process
 * @param workNs   how long it occupies one slot, in nanoseconds
 */
record TimedWork(double sentAtNs, double workNs) {}
