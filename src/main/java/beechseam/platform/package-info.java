/**
 * A node on the platform's HTTP protocol: requests from clients ({@code Ingress...}), attempts at executors
 * ({@code Egress...} and the kinds of {@code Exchange}), call-backs, discovery, the planned end of a process
 * and the hand-over to another. It joins {@code http}, {@code ops} and {@code config} to {@code core};
 * {@code cli} starts it.
 */
package beechseam.platform;
