/**
 * The Gearman front: a job server whose clients are the core's ingress and whose workers are its egress
 * targets. {@link beechseam.gearman.GearmanServer} joins the parts: a {@code GearmanConnection} takes packets
 * and admin lines off the wire; a {@code ClientSession} submits and hears, a {@code WorkerSession} asks and
 * runs; a {@code GearmanFunction} has the queued jobs of one function and an engine of its own, its
 * {@code FunctionWorkers} are the egress targets; {@code Jobs} knows all that are alive; {@code Admin} answers
 * operators' lines; {@code Shutdown} ends the server. What has to be decided is in {@code gearman.queue} or in
 * the dispatcher. It may use {@code core}, {@code net}, {@code config} and its two sub-packages; only
 * {@code cli} uses it.
 */
package beechseam.gearman;
