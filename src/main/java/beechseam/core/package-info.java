/**
 * The engine: requests, attempts, their outcomes and deadlines. {@link beechseam.core.Engine} connects the dispatcher
 * of {@code beechseam.dispatch} with a front end ({@link beechseam.core.Ingress}) and with the sender of attempts to
 * the targets ({@link beechseam.core.Egress}). The engine depends on no network protocol and does no I/O; its clock
 * and its timers are passed in. Of the other packages it uses only {@code beechseam.dispatch}; every host (platform,
 * gearman, library) uses the engine.
 */
package beechseam.core;
