package beechseam.core;

import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.LearnedState;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Drives the dispatcher: passes it the events that front ends, egress and discovery report, and carries out its
 * decisions. The engine ensures that each request gets exactly one final answer and that each attempt ends exactly
 * once, whatever the network connections do.
 *
 * <p>Single-threaded: all calls come from the thread that also fires the timers. The dispatcher is not re-entrant: an
 * event that is raised while the dispatcher acts is queued and runs after the current one (see {@code EventQueue}).
 *
 * <p>This class is the interface for the other packages. It delegates to {@code RequestLifecycle} (deadlines and final
 * answers), {@code AttemptLifecycle} (sending, time-outs, ends) and {@code EngineActions} (the dispatcher's
 * decisions).
 */
public final class Engine {
    /** The final answer is sent this long before the client's deadline, in nanoseconds, to arrive in time. */
    public static final long ANSWER_MARGIN_NS = 25_000_000L;

    private final EngineContext context;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;

    /**
     * Creates an engine with its dispatcher and an empty route table.
     *
     * @param seed  seed of the dispatcher's random numbers
     * @param clock the current time in nanoseconds; the timers are set on the same clock
     */
    public Engine(
            DispatchSettings settings, long seed, LongSupplier clock, Timers timers, Egress egress, Counters counters) {
        context = new EngineContext(clock, timers, egress, counters, settings);
        attempts = new AttemptLifecycle(context);
        requests = new RequestLifecycle(context, attempts);
        EngineTrace.engineStarted(settings);
        context.createDispatcher(settings, seed, new EngineActions(context, requests, attempts));
    }

    /** The counters that were passed to the constructor. */
    public Counters counters() {
        return context.counters;
    }

    /** The targets that discovery lists, with the operators' maintenance applied; each update changes this table. */
    public RouteTable routeTable() {
        return context.routes;
    }

    /** The host's clock, in nanoseconds. */
    public long now() {
        return context.now();
    }

    /** The number of listed targets that accept no new work or that the dispatcher has ejected as outliers. */
    public long unavailableTargets() {
        return context.routes.ids().stream()
                .filter(id -> !context.routes.acceptsNewWork(id)
                        || context.dispatcher().isEjected(now(), id))
                .count();
    }

    /** The number of requests that have no final answer yet or still have an attempt in flight. */
    public int openRequests() {
        return context.requests.size();
    }

    /**
     * Sets how long a correlation id is refused after its request, of a class that is not idempotent, has ended without
     * certainty: an attempt may still run, or may have run for a client that has left. For hosts whose clients choose
     * the ids.
     *
     * @param durationNs the time in nanoseconds; 0, the initial value, refuses only ids of open requests
     */
    public void holdCorrelations(long durationNs) {
        context.heldCorrelations.setDuration(durationNs);
    }

    /** Refuses a correlation id for the time set by {@link #holdCorrelations}: its request runs by another process. */
    public void holdCorrelation(String correlation) {
        context.heldCorrelations.hold(correlation, now());
    }

    /** The correlation ids that must not run by another process: held ones, and open ones that may have begun. */
    public List<String> correlationsInUse() {
        List<String> inUse = new ArrayList<>(context.heldCorrelations.all(now()));
        inUse.addAll(context.requests.correlationsBegun());
        return inUse;
    }

    /** Whether the request must not run again under its correlation id once an attempt may have run. */
    public boolean mustNotRepeat(Request request) {
        return request.mustNotRepeat;
    }

    /** The open request with that correlation id, or null. */
    public Request findRequest(String correlation) {
        return context.requests.find(correlation);
    }

    /**
     * Accepts a request. The ingress may be called before this method returns.
     *
     * @param correlation the id by which clients and targets identify the request
     * @param jobClass    index of the request's class in the settings
     * @param budgetNs    how long the client still waits for the answer, in nanoseconds
     * @param slots       how many slots of a target the request needs
     * @param memory      how much memory of a target the request needs, in slots
     * @param message     data for the egress, which the engine does not read
     * @return the request, or null if the correlation id is in use: a request with it is open, or it is held
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
     * Accepts a request that the front end describes by a {@link Job}. The ingress may be called before this method
     * returns.
     *
     * @param job the request's properties; the engine ignores the job's id and assigns one of its own
     * @return the request, or null if the correlation id is in use: a request with it is open, or it is held
     */
    public Request submit(String correlation, Job job, Object message, Ingress ingress) {
        return requests.submit(correlation, job, message, ingress);
    }

    /** Sets the gate that is checked before anything is sent, for hosts whose route table is not always current. */
    public void useSendGate(SendGate gate) {
        context.useSendGate(gate);
    }

    /**
     * Resumes the requests, attempts and health checks that were deferred by the send gate. A host calls this when the
     * gate has opened; no effect if the gate has closed again.
     */
    public void resumeDeferred() {
        if (!context.deferredWork.isEmpty() && context.sendGate().open()) {
            context.events.submit(() -> context.deferredWork.release(
                    requests::offerDeferred, attempts::sendDeferred, context.egress::healthCheck));
        }
    }

    /**
     * Prepares for the end of the process: each request accepted from now on gets its final answer by the given time of
     * the clock, in nanoseconds, even if its client's budget is longer. The dispatcher still gets the client's budget,
     * because it may take a shortened budget for a retry by the client.
     */
    public void answerAllBy(long at) {
        requests.answerAllBy(at);
    }

    /** Reports that the client has disconnected and needs no answer. No effect after the final answer. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /**
     * Checks whether an attempt may still be sent. An egress calls this just before the attempt's first byte, because
     * while the attempt waited for a connection it may have ended, its client may have disconnected, its target may
     * have begun to drain, or the time within which the request may be retried may have passed.
     *
     * @return true if the attempt may be sent. If false, an attempt that must not be sent any more has ended; an
     *     attempt that meets a closed send gate is passed to the egress again when the gate opens
     */
    public boolean tryBegin(Attempt attempt) {
        return attempts.tryBegin(attempt);
    }

    /**
     * Checks the same as {@link #tryBegin} except for the target's state, for an egress that has reserved the target
     * for this attempt: a reserved target is listed as accepting no new work. The egress itself ends the reservation
     * when the target begins to drain.
     */
    public boolean tryBeginReserved(Attempt attempt) {
        return attempts.tryBeginReserved(attempt);
    }

    /**
     * Returns the time of the clock, in nanoseconds, from which the attempt must not begin any more, as {@link
     * #tryBegin} checks it. For an egress that begins attempts on another thread.
     */
    public long latestBegin(Attempt attempt) {
        return attempts.latestBegin(attempt);
    }

    /** Reports that the target has started to run the attempt. */
    public void attemptStarted(Attempt attempt) {
        attempts.started(attempt);
    }

    /** Reports the attempt's progress as given by the target; {@code done} is from 0 to 1. */
    public void attemptProgressed(Attempt attempt, double done) {
        attempts.progressed(attempt, done);
    }

    /**
     * Reports that the attempt has ended. The first attempt with outcome {@link Outcome#SERVED} answers the client. No
     * effect if the attempt has ended before.
     *
     * @param result the client's result; used only with {@link Outcome#SERVED}
     * @param load   the target's load report, or null if the target sent none
     */
    public void attemptEnded(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        attempts.ended(attempt, outcome, result, load);
    }

    /** Reports that a health check was answered or failed; {@code load} is null if it brought no load report. */
    public void healthCheckCompleted(long target, boolean answered, LoadReport load) {
        EngineTrace.healthCheckCompleted(target, answered, load);
        context.events.submit(() -> context.dispatcher().healthCheckCompleted(now(), target, answered, load));
    }

    /** Applies an endpoint list, or changes to it, from discovery. The route table contains them on return. */
    public void updateEndpoints(EndpointUpdate update, List<WorkerEndpoint> entries) {
        // The table is updated here and not in a queued event: an attempt about to be written must see the update.
        List<WorkerEndpoint> effective = context.routes.apply(update, entries);
        EngineTrace.endpointsUpdated(update, now(), effective);
        context.events.submit(() -> context.dispatcher().endpointsUpdated(now(), update, effective));
    }

    /**
     * Takes a target out of service for maintenance, or returns it to service. The route table reflects this on
     * return.
     *
     * @param returnedAtNs when the target returned to service, by the clock; used only for a return
     */
    public void setMaintenance(long target, boolean inMaintenance, long returnedAtNs) {
        WorkerEndpoint entry = context.routes.setMaintenance(target, inMaintenance, returnedAtNs);
        if (entry != null) {
            context.events.submit(
                    () -> context.dispatcher().endpointsUpdated(now(), EndpointUpdate.DELTA, List.of(entry)));
        }
    }

    /**
     * Exports the dispatcher's learned state for the successor process. For one overload window afterwards this
     * dispatcher sends nothing to targets that are warming up.
     */
    public LearnedState exportLearnedState() {
        return context.dispatcher().exportLearnedState(now());
    }

    /** Imports the learned state of a predecessor process's dispatcher. */
    public void importLearnedState(LearnedState learned) {
        context.events.submit(() -> context.dispatcher().importLearnedState(now(), learned));
    }
}
