package beechseam.core;

import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

/**
 * Logs the engine's events at level TRACE, one line per event. A fleet's behaviour is reconstructed from these lines.
 * Each event has its own method with typed parameters, so that nothing is boxed or formatted while the level is off.
 */
final class EngineTrace {
    private static final Logger LOG = System.getLogger(Engine.class.getName());

    private EngineTrace() {}

    private static boolean enabled() {
        return LOG.isLoggable(Level.TRACE);
    }

    private static void write(String line) {
        LOG.log(Level.TRACE, line);
    }

    static void engineStarted(DispatchSettings settings) {
        if (enabled()) {
            write("engine started settings=" + settings);
        }
    }

    static void requestAccepted(long jobId, Job job) {
        if (enabled()) {
            write("request accepted job=" + jobId + " class=" + job.jobClass() + " budget_ns=" + job.budgetNs()
                    + " first_attempt=" + job.firstAttempt());
        }
    }

    static void requestShed(long jobId, long retryAfterNs) {
        if (enabled()) {
            write("request shed job=" + jobId + " retry_after_ns=" + retryAfterNs);
        }
    }

    static void requestFailed(long jobId) {
        if (enabled()) {
            write("request failed job=" + jobId);
        }
    }

    static void attemptSent(long jobId, int attempt, long worker) {
        if (enabled()) {
            write("attempt sent job=" + jobId + " attempt=" + attempt + " worker=" + worker);
        }
    }

    static void attemptWithheld(long jobId, int attempt, long worker, boolean wanted) {
        if (enabled()) {
            write("attempt withheld job=" + jobId + " attempt=" + attempt + " worker=" + worker + " wanted=" + wanted);
        }
    }

    static void attemptStarted(long jobId, int attempt, long worker) {
        if (enabled()) {
            write("attempt started job=" + jobId + " attempt=" + attempt + " worker=" + worker);
        }
    }

    static void attemptEnded(long jobId, int attempt, long worker, Outcome outcome, LoadReport load) {
        if (enabled()) {
            write("attempt ended job=" + jobId + " attempt=" + attempt + " worker=" + worker + " outcome=" + outcome
                    + " load=" + load);
        }
    }

    static void healthCheckSent(long worker) {
        if (enabled()) {
            write("health check sent worker=" + worker);
        }
    }

    static void healthCheckCompleted(long worker, boolean answered, LoadReport load) {
        if (enabled()) {
            write("health check completed worker=" + worker + " answered=" + answered + " load=" + load);
        }
    }

    static void endpointsUpdated(EndpointUpdate update, long nowNs, List<WorkerEndpoint> entries) {
        if (enabled()) {
            write("endpoints updated update=" + update + " now_ns=" + nowNs + " entries=" + entries);
        }
    }
}
