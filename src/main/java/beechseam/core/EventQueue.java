package beechseam.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.function.Supplier;

/**
 * Runs the engine's events one after another. The dispatcher must not be re-entered while it acts, but an action may
 * raise an event immediately: a refused connect, for example, is reported within the send. Such an event is queued and
 * runs, in order of arrival, after the event that raised it.
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
     * Runs the event now, followed by all events that it raises; if called within another event, queues the event
     * instead. An exception thrown by an event is counted and logged, because a fault in one request must not stop the
     * others.
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

    /** Creates a value; events submitted meanwhile are queued and run after the next event that is submitted. */
    <T> T createWithEventsQueued(Supplier<T> factory) {
        running = true;
        T created = factory.get();
        running = false;
        return created;
    }
}
