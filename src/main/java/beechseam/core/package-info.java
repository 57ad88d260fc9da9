/**
 * The engine: requests, attempts, their outcomes and deadlines. {@link beechseam.core.Engine} drives the dispatcher
 * of {@code beechseam.dispatch} between a front end ({@link beechseam.core.Ingress}) and a way to the workers
 * ({@link beechseam.core.Egress}). It knows no wire and does no I/O; its clock and its timers are handed in. It may
 * use {@code beechseam.dispatch} alone; every host (platform, gearman, library) uses it.
 */
package beechseam.core;
