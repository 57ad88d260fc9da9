/**
 * The public API for host applications that run the dispatch logic in their own process:
 * {@link beechseam.library.Balancer}. It runs {@code core.Engine} with its dispatcher on a thread of its own and
 * contains no network protocol: the host's {@link beechseam.library.Sender} sends the jobs. The package may use
 * {@code core}, the event loop of {@code net} and the types of {@code dispatch}; the daemon does not use it.
 */
package beechseam.library;
