/**
 * The front door for those who carry the dispatch logic in their own process:
 * {@link beechseam.library.Balancer}. It runs {@code core.Engine} with its module on a thread of its own and
 * knows no wire: what sends a job is the host's. It may use {@code core}, {@code net}'s event loop and the
 * module's types; nothing of the daemon uses it.
 */
package beechseam.library;
