package beechseam.sim;

import beechseam.dispatch.DispatchActions;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes actions as lines of the wire. */
final class Replies {
    private final JsonGenerator out;

    Replies(JsonGenerator out) {
        this.out = out.setRootValueSeparator(null);
    }

    /** Ends a batch and sends the reply. */
    void yield() throws IOException {
        out.writeRaw("{\"Yield\":{}}\n");
        out.flush();
    }

    void bug(int who, RuntimeException e) throws IOException {
        StackTraceElement[] trace = e.getStackTrace();
        new Line("Bug", who)
                .text("ReasonText", e + (trace.length > 0 ? " at " + trace[0] : ""))
                .end();
    }

    DispatchActions forInstance(int who) {
        return new DispatchActions() {
            @Override
            public void send(long job, long worker, long timeoutNs) {
                new Line("HandOff", who)
                        .number("Corr", job)
                        .number("Worker", worker)
                        .number("TryForNs", timeoutNs)
                        .end();
            }

            @Override
            public void cancel(long job, int attempt) {
                new Line("DropAttempt", who)
                        .number("Corr", job)
                        .number("Leg", attempt)
                        .end();
            }

            @Override
            public void shed(long job, long pauseNs) {
                new Line("Decline", who)
                        .number("Corr", job)
                        .number("PauseNs", pauseNs)
                        .end();
            }

            @Override
            public void fail(long job) {
                new Line("EndFailed", who).number("Corr", job).end();
            }

            @Override
            public void healthCheck(long worker) {
                new Line("Poll", who).number("Worker", worker).end();
            }

            @Override
            public void scheduleTimer(long offsetNs, long tag) {
                new Line("NotifyMe", who)
                        .number("OffsetNs", offsetNs)
                        .number("Tag", tag)
                        .end();
            }

            @Override
            public void watchEndpoints() {
                new Line("Watch", who).flag("Enable").end();
            }

            @Override
            public void log(String text) {
                new Line("Remark", who).text("ReasonText", text).end();
            }
        };
    }

    /** One message under way. A write that fails ends the process: there is nobody left to answer to. */
    private final class Line {
        Line(String name, int who) {
            write(() -> {
                out.writeStartObject();
                out.writeObjectFieldStart(name);
                out.writeNumberField("Who", who);
            });
        }

        Line number(String field, long value) {
            return write(() -> out.writeNumberField(field, value));
        }

        Line text(String field, String value) {
            return write(() -> out.writeStringField(field, value));
        }

        Line flag(String field) {
            return write(() -> out.writeBooleanField(field, true));
        }

        void end() {
            write(() -> {
                out.writeEndObject();
                out.writeEndObject();
                out.writeRaw('\n');
            });
        }

        private Line write(Writing writing) {
            try {
                writing.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }
    }

    private interface Writing {
        void run() throws IOException;
    }
}
