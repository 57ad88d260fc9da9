package beechseam.dispatch;

/**
 * A change of the load that this dispatcher has in flight at a worker.
 *
 * @param atNs  time of the change by the host's clock, in nanoseconds
 * @param slots slots of an attempt that was sent; negative for one that has ended
 */
record LoadChange(long atNs, double slots) {}
