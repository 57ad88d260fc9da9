package beechseam.core;

import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.LearnedState;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Drives the dispatcher: hands it what front ends, egress and discovery report, and does what it decides. It sees to
 * one final answer a request and one end an attempt, whatever the wires do.
 *
 * <p>Single-threaded: all calls come from the one thread that also fires the timers. The dispatcher is never entered
 * while it acts; an event that an action brings about at once waits until the running one is done (see {@code
 * EventQueue}).
 *
 * <p>This class is the interface that the other packages call. The work is done by {@code RequestLifecycle}
 * (deadlines and final answers), {@code AttemptLifecycle} (sending, time-outs, ends) and {@code EngineActions} (the
 * dispatcher's decisions).
 */
public final class Engine {
    /** An answer leaves this long before the client gives up, in nanoseconds: it has a way to go yet. */
    public static final long ANSWER_MARGIN_NS = 25_000_000L;

    private final EngineContext context;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;

    /**
     * Creates an engine with its dispatcher and an empty route table.
     *
     * @param seed  of the dispatcher's random draws
     * @param clock the time in nanoseconds, by which the timers are set too
     */
    public Engine(
            DispatchSettings settings, long seed, LongSupplier clock, Timers timers, Egress egress, Counters counters) {
        context = new EngineContext(clock, timers, egress, counters, settings.limits());
        attempts = new AttemptLifecycle(context);
        requests = new RequestLifecycle(context, attempts);
        EngineTrace.engineStarted(settings);
        context.createDispatcher(settings, seed, new EngineActions(context, requests, attempts));
    }

    /** The counters that were handed to the constructor. */
    public Counters counters() {
        return context.counters;
    }

    /** The targets as discovery lists them and operators have set them; it changes with every update. */
    public RouteTable routeTable() {
        return context.routes;
    }

    /** The host's clock, in nanoseconds. */
    public long now() {
        return context.now();
    }

    /** How many listed targets accept no new work, or are ejected by the dispatcher as outliers. */
    public long unavailableTargets() {
        return context.routes.ids().stream()
                .filter(id -> !context.routes.acceptsNewWork(id)
                        || context.dispatcher().isEjected(now(), id))
                .count();
    }

    /** How many requests owe an answer or still have an attempt in flight. */
    public int openRequests() {
        return context.requests.size();
    }

    /** The open request of that correlation, or null. */
    public Request findRequest(String correlation) {
        return context.requests.find(correlation);
    }

    /**
     * Accepts a request. Its ingress may be called before this returns.
     *
     * @param correlation the name by which clients and targets know it
     * @param jobClass    the place of its class in the settings
     * @param budgetNs    how long its client still waits, in nanoseconds
     * @param slots       how many slots of a target it takes
     * @param memory      how much memory of a target it takes, in slots
     * @param message     what the egress needs of it; the engine does not look inside
     * @return the request, or null when one of that correlation is still open
     */
    public Request submit(
            String correlation,
            int jobClass,
            long budgetNs,
            double slots,
            double memory,
            Object message,
            Ingress ingress) {
        return submit(correlation, new Job(0, jobClass, budgetNs, 0, slots, memory), message, ingress);
    }

    /**
     * Accepts a request of which the front end knows more. Its ingress may be called before this returns.
     *
     * @param job what is known of it; its id is not used, the engine gives one
     * @return the request, or null when one of that correlation is still open
     */
    public Request submit(String correlation, Job job, Object message, Ingress ingress) {
        return requests.submit(correlation, job, message, ingress);
    }

    /** Sets the gate to ask before anything is sent, for hosts whose route table is not always current. */
    public void useSendGate(SendGate gate) {
        context.useSendGate(gate);
    }

    /** The gate has opened: what waited for it goes on, unless it has closed again meanwhile. */
    public void resumeDeferred() {
        if (!context.deferredWork.isEmpty() && context.sendGate().open()) {
            context.events.submit(() -> context.deferredWork.release(
                    requests::offerDeferred, attempts::sendDeferred, context.egress::healthCheck));
        }
    }

    /**
     * The process ends: whatever is accepted from now on is answered by that time of the clock, in nanoseconds,
     * whatever its client's budget. The dispatcher is not told, since to it a short budget may mean a client's
     * retry.
     */
    public void answerAllBy(long at) {
        requests.answerAllBy(at);
    }

    /** The client has gone: nobody waits for an answer. No effect where the answer has been given. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /**
     * Asked by an egress just before an attempt's first byte, since much may have changed while the attempt waited
     * for a connection: its end was decided, its client has gone, its target drains, or the time in which the
     * request may be retried is over.
     *
     * @return whether it may go. Where it must not go any more its end is told; where the gate is closed it is given
     *     to the egress once more when it opens
     */
    public boolean tryBegin(Attempt attempt) {
        return attempts.tryBegin(attempt);
    }

    /** The target reports that the attempt runs. */
    public void attemptStarted(Attempt attempt) {
        attempts.started(attempt);
    }

    /** The target reports how much of the attempt is done, from 0 to 1. */
    public void attemptProgressed(Attempt attempt, double done) {
        attempts.progressed(attempt, done);
    }

    /**
     * The attempt has ended; the first that was served answers the client. No effect where it had ended before.
     *
     * @param result what the client gets; used with {@link Outcome#SERVED} only
     * @param load   the target's load report, or null when none came along
     */
    public void attemptEnded(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        attempts.ended(attempt, outcome, result, load);
    }

    /** A health check has been answered or has failed; {@code load} is null when no load report came along. */
    public void healthCheckCompleted(long target, boolean answered, LoadReport load) {
        EngineTrace.healthCheckCompleted(target, answered, load);
        context.events.submit(() -> context.dispatcher().healthCheckCompleted(now(), target, answered, load));
    }

    /** Discovery reports a list or changes. The route table holds them when this returns. */
    public void updateEndpoints(EndpointUpdate update, List<WorkerEndpoint> entries) {
        // At once, not queued: an attempt about to be written must see the newest table.
        List<WorkerEndpoint> effective = context.routes.apply(update, entries);
        EngineTrace.endpointsUpdated(update, now(), effective);
        context.events.submit(() -> context.dispatcher().endpointsUpdated(now(), update, effective));
    }

    /**
     * An operator takes a target out of service, or returns it. It holds when this returns.
     *
     * @param returnedAtNs since when it is back, by the clock; used for a return only
     */
    public void setMaintenance(long target, boolean inMaintenance, long returnedAtNs) {
        WorkerEndpoint entry = context.routes.setMaintenance(target, inMaintenance, returnedAtNs);
        if (entry != null) {
            context.events.submit(
                    () -> context.dispatcher().endpointsUpdated(now(), EndpointUpdate.DELTA, List.of(entry)));
        }
    }

    /** What the dispatcher has learned, for the next process; this one warms up no targets for a while after it. */
    public LearnedState exportLearnedState() {
        return context.dispatcher().exportLearnedState(now());
    }

    /** Takes over what the dispatcher of an older process has learned. */
    public void importLearnedState(LearnedState learned) {
        context.events.submit(() -> context.dispatcher().importLearnedState(now(), learned));
    }
}
