package beechseam.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.function.Supplier;

/**
 * Runs the engine's events one after the other. The dispatcher must never be entered while it acts, yet an action may
 * bring about an event at once, as a refused connect does within the send. Such an event is queued and runs, in order
 * of arrival, when the one that caused it is done.
 */
final class EventQueue {
    private static final Logger LOG = System.getLogger(Engine.class.getName());

    private final Counters counters;
    private final ArrayDeque<Runnable> queued = new ArrayDeque<>();
    private boolean running;

    EventQueue(Counters counters) {
        this.counters = counters;
    }

    /**
     * Runs the event now, and after it all that it brings about; within another event it is queued instead. An
     * exception that an event throws is counted and logged, since one request's fault must not stop the others.
     */
    void submit(Runnable event) {
        if (running) {
            queued.add(event);
            return;
        }
        running = true;
        try {
            for (Runnable each = event; each != null; each = queued.poll()) {
                runGuarded(each);
            }
        } finally {
            running = false;
        }
    }

    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            counters.faults++;
            LOG.log(Level.ERROR, "event failed", e);
        }
    }

    /** Creates a value while events are only queued; those brought about meanwhile run after the next one submitted. */
    <T> T createWithEventsQueued(Supplier<T> factory) {
        running = true;
        T created = factory.get();
        running = false;
        return created;
    }
}
