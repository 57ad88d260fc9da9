package beechseam.dispatch;

/**
 * Work that was sent to a worker while it was warming up.
 *
 * @param sentAtNs time of the send by the host's clock, in nanoseconds; a double, as ages are transferred between
 *     processes as doubles
 * @param workNs   time for which the work occupies one slot, in nanoseconds
 */
record TimedWork(double sentAtNs, double workNs) {}
