package beechseam.cli;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Signals of the operating system. Left alone the runtime ends on these signals. On SIGHUP operators want the
 * configuration read again; on SIGTERM the runtime's shutdown hooks would run beside the event loop, and the one
 * that ends all logging at once.
 */
final class Signals {
    private static final Logger LOG = System.getLogger(Signals.class.getName());

    private Signals() {}

    /**
     * Runs the action on the signal's thread whenever the signal comes. One that was ignored before the start, as
     * under nohup, the runtime leaves ignored whatever it is told; that is logged.
     */
    static void onSignal(String name, Runnable action) {
        try {
            SignalHandler previous = Signal.handle(new Signal(name), received -> action.run());
            if (previous == SignalHandler.SIG_IGN) {
                LOG.log(Level.WARNING, "signal ignored name=SIG" + name + " reason=ignored before the start");
            }
        } catch (IllegalArgumentException e) { // the system has none, or the runtime leaves it alone
            LOG.log(Level.WARNING, "signal not handled name=SIG" + name + " reason=" + e.getMessage());
        }
    }
}
