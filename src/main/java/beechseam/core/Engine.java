package beechseam.core;

import beechseam.dispatch.DispatchActions;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.Dispatcher;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.LearnedState;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Drives the decision module: hands it what fronts, egress and discovery tell, and does what it decides.
 * Single-threaded. It sees to one final answer a request and one end an attempt, whatever the wires do.
 */
public final class Engine {
    private static final Logger LOG = System.getLogger(Engine.class.getName());
    /** An answer leaves this long before the client gives up: it has a way to go yet. */
    public static final long ANSWER_MARGIN_NS = 25_000_000L;

    /** A process may be held up for so long between reading its clock and writing. */
    private static final long MAX_STALL_NS = 150_000_000L;

    private final LongSupplier clock;
    private final Timers timers;
    private final Egress egress;
    private final Dispatcher module;
    private final Counters counters;
    private final RouteTable routes = new RouteTable();
    private final Map<Long, Request> byId = new HashMap<>();
    private final Map<String, Request> byCorrelation = new HashMap<>();
    // The module is never entered while it acts: what its actions bring about at once waits here.
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private final DeferredWork waiting = new DeferredWork();
    private final DispatchLimits limits;
    private SendGate gate = SendGate.ALWAYS_OPEN;
    private boolean inside;
    private long lastId;
    private long lastAnswerAt = Long.MAX_VALUE;

    public Engine(
            DispatchSettings settings, long seed, LongSupplier clock, Timers timers, Egress egress, Counters counters) {
        this.clock = clock;
        this.timers = timers;
        this.egress = egress;
        this.counters = counters;
        limits = settings.limits();
        trace("settings", settings);
        inside = true; // the module may act from its constructor on
        module = new Dispatcher(now(), settings, seed, new EngineActions());
        inside = false;
    }

    public Counters counters() {
        return counters;
    }

    /** A line an event, at level trace: for accounts over a whole fleet. */
    private static void trace(String event, Object... figures) {
        if (LOG.isLoggable(Level.TRACE)) {
            StringBuilder line = new StringBuilder("trace ").append(event);
            for (Object each : figures) {
                line.append(' ').append(each);
            }
            LOG.log(Level.TRACE, line);
        }
    }

    public RouteTable routeTable() {
        return routes;
    }

    public long now() {
        return clock.getAsLong();
    }

    /** Listed targets that get nothing new, or that the module doubts. */
    public long unavailableTargets() {
        return routes.ids().stream()
                .filter(id -> !routes.acceptsNewWork(id) || module.isEjected(now(), id))
                .count();
    }

    /** Requests that owe an answer or still have an attempt out. */
    public int openRequests() {
        return byId.size();
    }

    /** The open request of that name, or null. */
    public Request findRequest(String correlation) {
        return byCorrelation.get(correlation);
    }

    private void tell(Runnable event) {
        if (inside) {
            deferred.add(event);
            return;
        }
        inside = true;
        try {
            for (Runnable each = event; each != null; each = deferred.poll()) {
                try {
                    each.run();
                } catch (RuntimeException e) { // one request's fault must not stop the others
                    counters.faults++;
                    LOG.log(Level.ERROR, "fault in an event", e);
                }
            }
        } finally {
            inside = false;
        }
    }

    // ---- From fronts

    /** Takes a request; null when one of that name is still open. Its ingress may be called at once. */
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

    /** The same for a front that knows more of the job; its id is given here. */
    public Request submit(String correlation, Job job, Object message, Ingress ingress) {
        long budgetNs = job.budgetNs();
        if (byCorrelation.containsKey(correlation)) {
            return null;
        }
        Request r = new Request(++lastId, correlation, job.jobClass(), now() + budgetNs, message, ingress);
        byId.put(r.id, r);
        byCorrelation.put(correlation, r);
        counters.requestsAccepted++;
        // With little time in hand half of it is kept for the answer's way.
        long due = r.deadlineAt - Math.min(ANSWER_MARGIN_NS, budgetNs / 2);
        boolean cut = lastAnswerAt < due;
        r.deadline = new Timer() {
            @Override
            protected void fire() {
                tell(() -> expire(r, cut));
            }
        };
        timers.set(r.deadline, Math.min(due, lastAnswerAt));
        trace("take", r.id, job.jobClass(), budgetNs, job.firstAttempt());
        if (gate.open()) {
            offer(r, job, budgetNs);
        } else {
            waiting.add(r, job);
        }
        return r;
    }

    private void offer(Request r, Job job, long budgetNs) {
        tell(() -> module.jobArrived(
                now(),
                new Job(r.id, job.jobClass(), budgetNs, job.workNs(), job.slots(), job.memory(), job.firstAttempt())));
    }

    /** Where the route table is not always current: who knows whether it is. */
    public void useSendGate(SendGate theGate) {
        gate = theGate;
    }

    /** The gate has opened: what waited for it goes on, unless it has closed again meanwhile. */
    public void resumeDeferred() {
        if (!waiting.isEmpty() && gate.open()) {
            tell(() -> waiting.release(
                    (r, job) -> offer(r, job, r.deadlineAt - now()), this::sendOn, egress::healthCheck));
        }
    }

    /** An attempt that waited: its target may be listed otherwise by now. */
    private void sendOn(Attempt attempt) {
        if (routes.acceptsNewWork(attempt.target)) {
            egress.send(attempt);
        } else {
            withhold(attempt, true);
        }
    }

    /**
     * The process ends: whatever is taken from now on is answered by then, whatever time its client gives.
     * The module is not told, since to it a short budget may mean a client's retry.
     */
    public void answerAllBy(long at) {
        lastAnswerAt = at;
    }

    /** The client has gone: nobody waits for an answer. */
    public void clientDisconnected(Request r) {
        tell(() -> {
            if (!r.finished) {
                counters.clientsDisconnected++;
                finish(r);
                module.clientDisconnected(now(), r.id);
                forget(r);
            }
        });
    }

    private void expire(Request r, boolean cut) {
        for (Attempt attempt : List.copyOf(r.attempts)) {
            if (!attempt.ended && !cut) { // told of a cut attempt's end the module would send another
                withdraw(attempt);
                end(attempt, attempt.begun ? Outcome.TIMEOUT : Outcome.NOT_SENT, null, null);
            }
        }
        if (r.finished) {
            return;
        }
        if (r.deferred) {
            shedRequest(r, limits.retryAfter() ? Math.min(gate.opensWithinNs(), limits.maxRetryAfterNs()) : 0);
            return;
        }
        // The module would still wait, but the client does not.
        if (r.attempts.stream().noneMatch(attempt -> attempt.begun)) {
            shedRequest(r, limits.retryAfter() ? limits.maxRetryAfterNs() : 0); // harmless: nothing was ever sent
        } else {
            counters.of(r.jobClass).failed++;
            finish(r);
            r.ingress.failed(r, cut ? "the node is stopping" : "no answer in time");
        }
        module.clientDisconnected(now(), r.id);
        forget(r);
    }

    private void shedRequest(Request r, long pauseNs) {
        counters.of(r.jobClass).shed++;
        trace("shed", r.id, pauseNs);
        finish(r);
        r.ingress.shed(r, pauseNs);
        forget(r);
    }

    /** The attempt's answer is not wanted any more. */
    private void withdraw(Attempt attempt) {
        if (!attempt.deferred) {
            egress.cancel(attempt);
        }
    }

    private void finish(Request r) {
        r.finished = true;
        timers.cancel(r.deadline);
    }

    private void forget(Request r) {
        if (r.finished && r.attemptsInFlight == 0) {
            byId.remove(r.id);
            byCorrelation.remove(r.correlation);
        }
    }

    // ---- From the egress

    /**
     * Asked by an egress just before an attempt's first byte, since much may have changed while the attempt
     * waited for a connection: its end was decided, its client has gone, its target drains, or the time in
     * which the request may be repeated is over. False where it must not go any more, and its end is then
     * told, or where the gate is closed, and it is then given to the egress once more.
     */
    public boolean tryBegin(Attempt attempt) {
        Request r = attempt.request;
        if (attempt.ended) {
            return false;
        }
        if (!gate.open()) {
            waiting.add(attempt);
            return false;
        }
        boolean wanted = !r.finished && r.ingress.isClientConnected(r) && !r.finished && !attempt.ended;
        if (wanted && routes.acceptsNewWork(attempt.target) && now() < repeatsEnd(attempt)) {
            attempt.begun();
            return true;
        }
        withhold(attempt, wanted);
        return false;
    }

    private long repeatsEnd(Attempt attempt) {
        return module.retryDeadline(attempt.request.id, attempt.number) - MAX_STALL_NS;
    }

    /** It ends with nothing sent; {@code wanted}: its client still waits. */
    private void withhold(Attempt attempt, boolean wanted) {
        counters.withheld += wanted ? 1 : 0;
        trace("withheld", attempt.request.id, attempt.number, attempt.target, wanted);
        tell(() -> end(attempt, Outcome.NOT_SENT, null, null));
    }

    public void attemptStarted(Attempt attempt) {
        tell(() -> {
            attempt.acknowledged = true;
            if (!attempt.ended) {
                trace("start", attempt.request.id, attempt.number, attempt.target);
                module.attemptStarted(now(), attempt.request.id, attempt.number);
            }
        });
    }

    public void attemptProgressed(Attempt attempt, double share) {
        tell(() -> {
            attempt.acknowledged = true;
            if (!attempt.ended) {
                module.attemptProgressed(now(), attempt.request.id, attempt.number, share);
            }
        });
    }

    /**
     * An attempt's end; the first that served answers the client. Ends of attempts that are over are passed
     * over.
     */
    public void attemptEnded(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        tell(() -> end(attempt, outcome, result, load));
    }

    private void end(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        if (attempt.ended) {
            return;
        }
        Request r = attempt.request;
        attempt.ended = true;
        r.attemptsInFlight--;
        counters.count(outcome);
        trace("end", r.id, attempt.number, attempt.target, outcome, load);
        if (attempt.timeout != null) {
            timers.cancel(attempt.timeout);
        }
        if (outcome == Outcome.SERVED && !r.finished) {
            counters.of(r.jobClass).served++;
            finish(r);
            r.ingress.served(r, result);
        }
        if (attempt.awaitsConfirmation()) {
            module.barWorker(now(), r.id, attempt.number);
        }
        module.attemptEnded(now(), r.id, attempt.number, outcome, r.finished, load);
        forget(r);
    }

    public void healthCheckCompleted(long target, boolean answered, LoadReport load) {
        trace("probed", target, answered, load);
        tell(() -> module.healthCheckCompleted(now(), target, answered, load));
    }

    // ---- From discovery

    public void updateEndpoints(EndpointUpdate form, List<WorkerEndpoint> lines) {
        // At once, not deferred: an attempt about to be written must see the newest table.
        List<WorkerEndpoint> shown = routes.apply(form, lines);
        trace("list", form, now(), shown);
        tell(() -> module.endpointsUpdated(now(), form, shown));
    }

    /** An operator leaves a target out, or puts it back as of a time; it holds when this returns. */
    public void setMaintenance(long target, boolean leaveOut, long backAt) {
        WorkerEndpoint row = routes.setMaintenance(target, leaveOut, backAt);
        if (row != null) {
            tell(() -> module.endpointsUpdated(now(), EndpointUpdate.DELTA, List.of(row)));
        }
    }

    // ---- Between the processes of one node

    /** What the module has learned, by what it is of; it no longer warms cold targets for a while. */
    public LearnedState exportLearnedState() {
        return module.exportLearnedState(now());
    }

    /** Takes over what the module of an older process had learned. */
    public void importLearnedState(LearnedState learned) {
        tell(() -> module.importLearnedState(now(), learned));
    }

    // ---- What the module decides

    private final class EngineActions implements DispatchActions {
        @Override
        public void send(long job, long worker, long timeoutNs) {
            Request r = byId.get(job);
            if (r == null || r.finished) {
                LOG.log(Level.WARNING, "a send for a request that is finished");
                return;
            }
            Timer timeout = timeoutNs == 0
                    ? null
                    : new Timer() {
                        @Override
                        protected void fire() {
                            timeOut(r, r.attemptAt(worker));
                        }
                    };
            Attempt attempt = new Attempt(r, r.attempts.size(), worker, timeout);
            r.attempts.add(attempt);
            r.attemptsInFlight++;
            counters.attemptsSent++;
            trace("send", job, attempt.number, worker);
            if (timeout != null) {
                timers.set(timeout, now() + timeoutNs);
            }
            if (gate.open()) {
                egress.send(attempt);
            } else {
                waiting.add(attempt);
            }
        }

        @Override
        public void cancel(long job, int number) {
            Request r = byId.get(job);
            if (r == null || number < 0 || number >= r.attempts.size() || r.attempts.get(number).ended) {
                return;
            }
            Attempt attempt = r.attempts.get(number);
            if (r.finished || attempt.deferred || limits.hedging()) {
                withdraw(attempt);
            } else if (!egress.recall(attempt)) {
                return;
            }
            tell(() -> end(attempt, Outcome.CANCELLED, null, null));
        }

        @Override
        public void shed(long job, long retryAfterNs) {
            Request r = byId.get(job);
            if (r != null && !r.finished) {
                shedRequest(r, retryAfterNs);
            }
        }

        @Override
        public void fail(long job) {
            Request r = byId.get(job);
            if (r != null && !r.finished) {
                trace("fail", job);
                counters.of(r.jobClass).failed++;
                finish(r);
                r.ingress.failed(r, "it could not be done");
                forget(r);
            }
        }

        @Override
        public void healthCheck(long worker) {
            counters.healthChecks++;
            trace("probe", worker);
            if (gate.open()) {
                egress.healthCheck(worker);
            } else {
                waiting.add(worker);
            }
        }

        @Override
        public void scheduleTimer(long offsetNs, long tag) {
            timers.set(
                    new Timer() {
                        @Override
                        protected void fire() {
                            tell(() -> module.timerFired(now(), tag));
                        }
                    },
                    now() + offsetNs);
        }

        @Override
        public void watchEndpoints() {
            // A node watches discovery all the time, asked or not.
        }

        @Override
        public void log(String text) {
            LOG.log(Level.INFO, text);
        }
    }

    private void timeOut(Request r, Attempt attempt) {
        tell(() -> {
            if (attempt != null && !attempt.ended) {
                withdraw(attempt);
                end(attempt, attempt.begun ? Outcome.TIMEOUT : Outcome.NOT_SENT, null, null);
            }
        });
    }
}
