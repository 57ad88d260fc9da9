/**
 * The Gearman front end: a job server whose clients are the ingress of the core and whose workers are its egress
 * targets. {@link beechseam.gearman.GearmanServer} connects the parts:
 *
 * <ul>
 *   <li>{@code GearmanConnection} decodes packets and admin lines.
 *   <li>{@code ClientSession} submits the jobs of a client and tracks those that it waits for.
 *   <li>{@code WorkerSession} requests jobs for a worker and tracks those that it holds.
 *   <li>{@code GearmanFunction} has the queued jobs of one function and an engine of its own;
 *       {@code FunctionWorkers} presents the workers of the function to the engine as egress targets.
 *   <li>{@code Jobs} is the registry of all jobs that have not ended.
 *   <li>{@code Admin} executes operators' commands.
 *   <li>{@code Shutdown} stops the server.
 * </ul>
 *
 * <p>The decisions are made in {@code gearman.queue} and in the dispatcher. This package may use {@code core},
 * {@code net}, {@code config} and its two sub-packages; only {@code cli} uses it.
 */
package beechseam.gearman;
