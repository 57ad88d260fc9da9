/**
 * The decision module and its interface. {@link beechseam.Dispatcher} decides to which worker a job goes,
 * whether it is tried again, and when it is refused; {@link beechseam.Dispatching} holds all that it is
 * told and answers with. It does no I/O, has no clock and no thread, and uses nothing but {@code
 * java.util}.
 */
package beechseam;
