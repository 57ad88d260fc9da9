package beechseam.core;

import beechseam.dispatch.DispatchActions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Carries out the dispatcher's decisions. Called only within the dispatcher's events and from its constructor. */
final class EngineActions implements DispatchActions {
    private static final Logger LOG = System.getLogger(Engine.class.getName());

    private final EngineContext context;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;

    EngineActions(EngineContext context, RequestLifecycle requests, AttemptLifecycle attempts) {
        this.context = context;
        this.requests = requests;
        this.attempts = attempts;
    }

    @Override
    public void send(long job, long worker, long timeoutNs) {
        Request request = context.requests.findUnfinished(job);
        if (request == null) {
            LOG.log(Level.WARNING, "send ignored reason=request_finished job=" + job + " worker=" + worker);
            return;
        }
        attempts.send(request, worker, timeoutNs);
    }

    @Override
    public void cancel(long job, int attempt) {
        Request request = context.requests.find(job);
        if (request != null) {
            attempts.cancel(request, attempt);
        }
    }

    @Override
    public void shed(long job, long retryAfterNs) {
        Request request = context.requests.findUnfinished(job);
        if (request != null) {
            requests.shed(request, retryAfterNs);
        }
    }

    @Override
    public void fail(long job) {
        Request request = context.requests.findUnfinished(job);
        if (request != null) {
            requests.fail(request);
        }
    }

    @Override
    public void healthCheck(long worker) {
        context.counters.recordHealthCheck();
        EngineTrace.healthCheckSent(worker);
        if (context.sendGate().open()) {
            context.egress.healthCheck(worker);
        } else {
            context.deferredWork.deferHealthCheck(worker);
        }
    }

    @Override
    public void scheduleTimer(long delayNs, long tag) {
        Timer timer = Timer.running(
                () -> context.events.submit(() -> context.dispatcher().timerFired(context.now(), tag)));
        context.timers.set(timer, context.now() + delayNs);
    }

    @Override
    public void watchEndpoints() {
        // Nothing to do: a node watches discovery all the time.
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
