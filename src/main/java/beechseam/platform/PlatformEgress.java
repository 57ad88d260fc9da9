package beechseam.platform;

import beechseam.config.Json;
import beechseam.config.ModuleOptions;
import beechseam.core.Attempt;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import beechseam.http.Slice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;

/** Attempts, their cancels and probes as HTTP exchanges with executors. */
final class PlatformEgress implements Egress {
    private static final long PROBE_TIMEOUT_NS = 500_000_000L;

    private final EgressPool pool;
    private final ModuleOptions options;
    private Engine engine;

    PlatformEgress(EgressPool pool, ModuleOptions options) {
        this.pool = pool;
        this.options = options;
    }

    void attach(Engine theEngine) {
        engine = theEngine;
    }

    @Override
    public void send(Attempt attempt) {
        EgressPool.Target target = pool.target(attempt.target);
        if (target == null) {
            engine.attemptEnded(attempt, Outcome.NOT_SENT, null, null);
            return;
        }
        Handing handing = new Handing(attempt, target);
        attempt.exchange = handing;
        pool.send(target, handing);
    }

    @Override
    public void cancel(Attempt attempt) {
        if (attempt.exchange instanceof Handing handing) {
            handing.giveUp();
        }
    }

    @Override
    public boolean recall(Attempt attempt) {
        if (attempt.exchange instanceof Handing handing) {
            handing.takeBack();
        }
        return false;
    }

    @Override
    public void healthCheck(long id) {
        EgressPool.Target target = pool.target(id);
        if (target == null) {
            engine.healthCheckCompleted(id, false, null);
        } else {
            pool.send(target, new Probe(target));
        }
    }

    /** The job's way to the executor, up to the 202; what comes of it then is told by call-back. */
    private final class Handing extends Exchange {
        private final Attempt attempt;
        private final EgressPool.Target target;
        private boolean accepted;
        private boolean givenUp;
        private long writtenAt = Long.MAX_VALUE;
        private final Timer silence = new Timer() {
            @Override
            protected void fire() {
                silent();
            }
        };

        Handing(Attempt attempt, EgressPool.Target target) {
            this.attempt = attempt;
            this.target = target;
        }

        @Override
        boolean wanted() {
            return !givenUp && engine.tryBegin(attempt);
        }

        @Override
        ByteBuffer bytes() {
            attempt.awaitsConfirmation(true);
            JobMessage m = (JobMessage) attempt.request.message;
            long leftMs = Math.max(1, (attempt.request.deadlineAt - engine.now()) / 1_000_000L);
            return HttpWriter.request(
                    "POST", m.target(), target.host, m.headers() + "X-Time-Left: " + leftMs + "m\r\n", m.body());
        }

        @Override
        void written() {
            engine.counters().of(attempt.request.jobClass).written++;
            writtenAt = pool.loop.now();
            pool.loop.timers.set(silence, writtenAt + pool.connectTimeoutNs);
        }

        /** A close before the 202 gives the job up at the executor: only once the attempt has ended there. */
        @Override
        boolean outlived(long time) {
            return attempt.hasEnded() && time - pool.connectTimeoutNs > writtenAt;
        }

        /** Its connection has fallen silent, or its machine has: the job may have run, or may yet. */
        private void silent() {
            if (!attempt.hasEnded() && !attempt.acknowledged()) {
                engine.counters().silent++;
                giveUp();
                engine.attemptEnded(attempt, Outcome.TIMEOUT, null, null);
            }
        }

        @Override
        void answered(HttpParser answer) {
            pool.loop.timers.cancel(silence);
            int status = answer.status();
            if (status == 202) {
                accepted = true;
                return;
            }
            Slice unprocessed = answer.header("x-unprocessed");
            attempt.awaitsConfirmation(attempt.acknowledged()); // its answer is its end, unless call-backs have begun
            boolean neverRan = (status == 503 || status == 504) && unprocessed != null && unprocessed.same("1");
            engine.attemptEnded(
                    attempt,
                    neverRan ? Outcome.REJECTED : Outcome.ERROR,
                    null,
                    Wire.load(options, answer.header("x-backend-load")));
        }

        @Override
        void broken(boolean neverRan) {
            pool.loop.timers.cancel(silence);
            if (neverRan && !attempt.hasEnded()) {
                attempt.awaitsConfirmation(false);
            }
            engine.attemptEnded(attempt, neverRan ? Outcome.UNREACHABLE : Outcome.LOST, null, null);
        }

        /**
         * Only what is confirmed counts: two calls to two executors may overtake each other, and the second
         * would have a copy. Before the 202 there is nobody to confirm, and silence ends the attempt soon.
         */
        void takeBack() {
            if (accepted && !givenUp && !target.gone) {
                pool.send(
                        target,
                        new Delete(
                                target,
                                attempt.request.correlation,
                                () -> engine.attemptEnded(attempt, Outcome.CANCELLED, null, null)));
            }
        }

        /**
         * Once taken it is taken back by DELETE. Before the 202 its connection is closed, to the same end: a
         * machine that has vanished never answers, and its connections would be held for good.
         */
        void giveUp() {
            if (givenUp) {
                return;
            }
            givenUp = true;
            pool.loop.timers.cancel(silence);
            if (accepted && !target.gone) {
                pool.send(target, new Delete(target, attempt.request.correlation, () -> {}));
            } else if (connection != null) {
                connection.abandon();
            }
        }
    }

    private static final class Delete extends Exchange {
        private final EgressPool.Target target;
        private final String id;
        private final Runnable confirmed;

        /** {@code confirmed}: the executor says that it holds the job no more. */
        Delete(EgressPool.Target target, String id, Runnable confirmed) {
            this.target = target;
            this.id = id;
            this.confirmed = confirmed;
        }

        @Override
        boolean wanted() {
            return !target.gone;
        }

        @Override
        ByteBuffer bytes() {
            return HttpWriter.request(
                    "DELETE", "/jobs/" + id, target.host, "X-Correlation-Id: " + id + "\r\n", Wire.NOTHING);
        }

        @Override
        void answered(HttpParser answer) {
            if (answer.status() / 100 == 2) {
                confirmed.run();
            } // else it has ended there, and its end is on its way
        }

        @Override
        void broken(boolean neverRan) {
            // An attempt that was given up has ended here; one that was to be taken back stays out.
        }
    }

    private final class Probe extends Exchange {
        private final EgressPool.Target target;
        private boolean told;
        private final Timer timeout = new Timer() {
            @Override
            protected void fire() {
                tell(false, null);
                if (connection != null) {
                    connection.abandon();
                }
            }
        };

        Probe(EgressPool.Target target) {
            this.target = target;
            pool.loop.timers.set(timeout, pool.loop.now() + PROBE_TIMEOUT_NS);
        }

        private void tell(boolean answered, LoadReport load) {
            if (!told) {
                told = true;
                pool.loop.timers.cancel(timeout);
                engine.healthCheckCompleted(target.id, answered, load);
            }
        }

        @Override
        boolean wanted() {
            boolean wanted = !told && engine.routeTable().acceptsNewWork(target.id);
            if (!wanted) {
                tell(false, null);
            }
            return wanted;
        }

        @Override
        ByteBuffer bytes() {
            return HttpWriter.request("GET", "/_load", target.host, "", Wire.NOTHING);
        }

        @Override
        void answered(HttpParser answer) {
            LoadReport load = null;
            Slice body = answer.body();
            try {
                if (body.length() > 0
                        && Json.parse(body.bytes(), body.from(), body.length()) instanceof Map<?, ?> report) {
                    load = Wire.load(options, report.get("load") instanceof Map<?, ?> inner ? inner : report);
                }
            } catch (IOException e) {
                load = Wire.load(options, body); // a report in the header's form
            }
            if (load == null) {
                load = Wire.load(options, answer.header("x-backend-load"));
            }
            tell(answer.status() == 200, load);
        }

        @Override
        void broken(boolean neverRan) {
            tell(false, null);
        }
    }
}
