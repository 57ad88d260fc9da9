/**
 * Decides which worker runs each job, whether a job is retried or hedged, and when it is shed. The host of a {@link
 * beechseam.dispatch.Dispatcher} reports {@link beechseam.dispatch.DispatchEvents} and carries out {@link
 * beechseam.dispatch.DispatchActions}. The package does no I/O, has no clock and no thread, and uses nothing but {@code
 * java.util}. The engine of {@code core} and the simulator's adapter in {@code sim} are its hosts.
 */
package beechseam.dispatch;
