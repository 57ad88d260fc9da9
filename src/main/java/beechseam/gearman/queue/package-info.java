/**
 * What the Gearman front has to decide, free of I/O: which waiting job goes before the module next
 * ({@link beechseam.gearman.queue.PriorityQueues}), which workers share an egress target
 * ({@link beechseam.gearman.queue.WorkerGroups}), what is taken in ({@link beechseam.gearman.queue.Admission},
 * {@link beechseam.gearman.queue.ByteBudget}) and when a job that waits for the clock is due
 * ({@link beechseam.gearman.queue.Schedule}). Which target gets a job, whether it is tried again and what is
 * turned away is not decided here but in the module. It may use {@code java.*} only; times are handed in, in
 * nanoseconds of the host's clock. Used by {@code beechseam.gearman}.
 */
package beechseam.gearman.queue;
