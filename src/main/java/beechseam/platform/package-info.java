/**
 * A node on the platform's HTTP protocol: requests from clients, attempts at executors, call-backs, lists
 * of discovery, the planned end of a process and the hand-over to another. It joins {@code http}, {@code
 * ops} and {@code config} to {@code core}; {@code cli} starts it.
 */
package beechseam.platform;
