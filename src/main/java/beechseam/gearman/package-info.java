/**
 * The Gearman front: a job server whose clients are the core's ingress and whose workers are its egress
 * targets. {@link beechseam.gearman.GearmanServer} joins the parts: a {@code GearmanConnection} takes packets
 * and admin lines off the wire; a {@code ClientSession} submits and hears, a {@code WorkerSession} asks and
 * runs; a {@code GearmanFunction} has the queued jobs of one function, its workers as egress targets and an
 * engine of its own; {@code Jobs} knows all that are alive; {@code Admin} answers operators' lines. What has
 * to be decided is in {@code gearman.queue} or in the module. It may use {@code core}, {@code net},
 * {@code config} and its two sub-packages; only {@code cli} uses it.
 */
package beechseam.gearman;
