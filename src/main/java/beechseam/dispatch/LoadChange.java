package beechseam.dispatch;

/**
 * A change of what this dispatcher has in flight at a worker.
 *
 * @param atNs  when, by the host's clock, in nanoseconds
 * @param slots the slots added, or negative, ended
 */
record LoadChange(long atNs, double slots) {}
