package beechseam.platform;

import beechseam.config.ModuleOptions;
import beechseam.core.Attempt;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.dispatch.Outcome;
import java.util.function.Consumer;

/** Carries out the engine's attempts, cancellations and health checks as HTTP exchanges with executors. */
final class PlatformEgress implements Egress {
    private final EgressPool pool;
    private final ModuleOptions options;
    private final Consumer<String> onBegun;
    private Engine engine;

    /** {@code onBegun} gets the correlation id of each attempt that begins and whose request must not be repeated. */
    PlatformEgress(EgressPool pool, ModuleOptions options, Consumer<String> onBegun) {
        this.pool = pool;
        this.options = options;
        this.onBegun = onBegun;
    }

    /** Sets the engine, whose constructor takes this object; called once, before any other method. */
    void attach(Engine attachedEngine) {
        engine = attachedEngine;
    }

    @Override
    public void send(Attempt attempt) {
        EgressTarget target = pool.target(attempt.target);
        if (target == null) {
            engine.attemptEnded(attempt, Outcome.NOT_SENT, null, null);
            return;
        }
        Submission submission = new Submission(pool, engine, options, attempt, target, onBegun);
        attempt.exchange = submission;
        pool.send(target, submission);
    }

    @Override
    public void cancel(Attempt attempt) {
        if (attempt.exchange instanceof Submission submission) {
            submission.abort();
        }
    }

    @Override
    public boolean recall(Attempt attempt) {
        if (attempt.exchange instanceof Submission submission) {
            submission.recall();
        }
        return false;
    }

    @Override
    public void healthCheck(long id) {
        EgressTarget target = pool.target(id);
        if (target == null) {
            engine.healthCheckCompleted(id, false, null);
        } else {
            pool.send(target, new HealthCheck(pool, engine, options, target));
        }
    }
}
