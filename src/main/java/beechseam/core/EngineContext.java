package beechseam.core;

import beechseam.dispatch.DispatchActions;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.Dispatcher;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The state that the parts of one engine share. The dispatcher is set last, because its constructor already calls its
 * actions, which need the other parts.
 */
final class EngineContext {
    final Timers timers;
    final Egress egress;
    final Counters counters;
    final DispatchLimits limits;
    final EventQueue events;
    final RouteTable routes = new RouteTable();
    final RequestTable requests;
    final HeldCorrelations heldCorrelations = new HeldCorrelations();
    final DeferredWork deferredWork = new DeferredWork();

    private final List<JobClass> classes;
    private final LongSupplier clock;
    private SendGate sendGate = SendGate.ALWAYS_OPEN;
    private Dispatcher dispatcher;

    EngineContext(LongSupplier clock, Timers timers, Egress egress, Counters counters, DispatchSettings settings) {
        this.clock = clock;
        this.timers = timers;
        this.egress = egress;
        this.counters = counters;
        limits = settings.limits();
        classes = settings.classes();
        events = new EventQueue(counters);
        requests = new RequestTable(timers);
    }

    /** Creates the dispatcher. Events raised by its constructor are queued and run after the first submitted event. */
    void createDispatcher(DispatchSettings settings, long seed, DispatchActions actions) {
        dispatcher = events.createWithEventsQueued(() -> new Dispatcher(now(), settings, seed, actions));
    }

    /** Whether jobs of a class must not be repeated, or only at some targets and for some time. */
    boolean mustNotRepeat(int jobClass) {
        return classes.get(jobClass).idempotency() != Idempotency.IDEMPOTENT;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    SendGate sendGate() {
        return sendGate;
    }

    void useSendGate(SendGate gate) {
        sendGate = gate;
    }

    /** The host's clock, in nanoseconds. */
    long now() {
        return clock.getAsLong();
    }
}
