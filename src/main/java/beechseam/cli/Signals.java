package beechseam.cli;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handlers of operating system signals. By default the JVM exits on these signals. SIGHUP reloads the configuration
 * instead. On SIGTERM the JVM would run its shutdown hooks concurrently with the event loop, among them the hook that
 * ends all logging at once.
 */
final class Signals {
    private static final Logger LOG = System.getLogger(Signals.class.getName());

    private Signals() {}

    /**
     * Runs the action on the signal's thread whenever the signal arrives. The JVM keeps ignoring a signal that was
     * ignored before its start, as under nohup, even if a handler is set; this is logged.
     */
    static void onSignal(String name, Runnable action) {
        try {
            SignalHandler previous = Signal.handle(new Signal(name), received -> action.run());
            if (previous == SignalHandler.SIG_IGN) {
                LOG.log(Level.WARNING, "signal ignored name=SIG" + name + " reason=ignored before the start");
            }
        } catch (IllegalArgumentException e) { // the system has no such signal, or the JVM reserves it
            LOG.log(Level.WARNING, "signal not handled name=SIG" + name + " reason=" + e.getMessage());
        }
    }
}
