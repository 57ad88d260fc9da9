/**
 * The decisions of the Gearman front end, without I/O: which queued job is submitted to the dispatcher next
 * ({@link beechseam.gearman.queue.PriorityQueues}) and for which function
 * ({@link beechseam.gearman.queue.FunctionArbiter}), which workers share an egress target
 * ({@link beechseam.gearman.queue.WorkerGroups}), which jobs are admitted
 * ({@link beechseam.gearman.queue.Admission}, {@link beechseam.gearman.queue.ByteBudget}) and when a delayed job
 * is due ({@link beechseam.gearman.queue.Schedule}). The dispatcher decides which target gets a job, and whether a
 * job is retried or shed. This package depends on {@code java.*} only; callers pass times in, in nanoseconds of
 * the host's clock. Used by {@code beechseam.gearman}.
 */
package beechseam.gearman.queue;
