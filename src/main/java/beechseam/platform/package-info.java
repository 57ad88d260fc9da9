/**
 * A node on the platform's HTTP protocol: requests from clients ({@code Ingress...}), attempts at executors
 * ({@code Egress...} and the implementations of {@code Exchange}), callbacks, discovery, the shutdown of a process
 * and the handover to its successor. It connects {@code http}, {@code ops} and {@code config} to {@code core};
 * {@code cli} starts it.
 */
package beechseam.platform;
