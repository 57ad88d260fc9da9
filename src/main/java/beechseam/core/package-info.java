/**
 * Requests, attempts, outcomes and deadlines. {@link beechseam.core.Engine} drives the decision module
 * between a front end ({@link beechseam.core.Ingress}) and a way to the workers (
 * {@link beechseam.core.Egress}). It knows no wire; its clock and its timers are handed in.
 */
package beechseam.core;
