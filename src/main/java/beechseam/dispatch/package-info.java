/**
 * The decision module and its interface. {@link beechseam.dispatch.Dispatcher} decides to which worker a job
 * goes, whether it
 * is retried or hedged, and when it is shed; {@link beechseam.dispatch.DispatchEvents} is what it is told, {@link
 * beechseam.dispatch.DispatchActions} what it answers with. It does no I/O, has no clock and no thread, and
 * uses nothing but
 * {@code java.util}. The engine of {@code core} and the simulator's adapter in {@code sim} drive it.
 */
package beechseam.dispatch;
