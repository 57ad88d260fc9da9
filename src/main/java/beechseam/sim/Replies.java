package beechseam.sim;

import beechseam.dispatch.DispatchActions;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the dispatchers' actions as messages of the simulator's protocol, one line each. */
final class Replies {
    private final JsonGenerator generator;

    Replies(JsonGenerator generator) {
        this.generator = generator.setRootValueSeparator(null);
    }

    /** Ends the reply to a batch of messages and flushes it. */
    void yield() throws IOException {
        generator.writeRaw("{\"Yield\":{}}\n");
        generator.flush();
    }

    /** Reports that an event of this instance threw an exception, with the place where it was thrown. */
    void bug(int instanceId, RuntimeException e) throws IOException {
        StackTraceElement[] trace = e.getStackTrace();
        new Line("Bug", instanceId)
                .text("ReasonText", e + (trace.length > 0 ? " at " + trace[0] : ""))
                .end();
    }

    /** The actions of that instance's dispatcher, each of which writes a message. */
    DispatchActions forInstance(int instanceId) {
        return new InstanceActions(instanceId);
    }

    private final class InstanceActions implements DispatchActions {
        private final int instanceId;

        InstanceActions(int instanceId) {
            this.instanceId = instanceId;
        }

        @Override
        public void send(long job, long worker, long timeoutNs) {
            new Line("HandOff", instanceId)
                    .number("Corr", job)
                    .number("Worker", worker)
                    .number("TryForNs", timeoutNs)
                    .end();
        }

        @Override
        public void cancel(long job, int attempt) {
            new Line("DropAttempt", instanceId)
                    .number("Corr", job)
                    .number("Leg", attempt)
                    .end();
        }

        @Override
        public void shed(long job, long retryAfterNs) {
            new Line("Decline", instanceId)
                    .number("Corr", job)
                    .number("PauseNs", retryAfterNs)
                    .end();
        }

        @Override
        public void fail(long job) {
            new Line("EndFailed", instanceId).number("Corr", job).end();
        }

        @Override
        public void healthCheck(long worker) {
            new Line("Poll", instanceId).number("Worker", worker).end();
        }

        @Override
        public void scheduleTimer(long offsetNs, long tag) {
            new Line("NotifyMe", instanceId)
                    .number("OffsetNs", offsetNs)
                    .number("Tag", tag)
                    .end();
        }

        @Override
        public void watchEndpoints() {
            new Line("Watch", instanceId).flag("Enable").end();
        }

        @Override
        public void log(String text) {
            new Line("Remark", instanceId).text("ReasonText", text).end();
        }
    }

    /** One message that is being written. A failed write ends the process, because no reader of the replies is left. */
    private final class Line {
        Line(String name, int instanceId) {
            write(() -> {
                generator.writeStartObject();
                generator.writeObjectFieldStart(name);
                generator.writeNumberField("Who", instanceId);
            });
        }

        Line number(String field, long value) {
            return write(() -> generator.writeNumberField(field, value));
        }

        Line text(String field, String value) {
            return write(() -> generator.writeStringField(field, value));
        }

        Line flag(String field) {
            return write(() -> generator.writeBooleanField(field, true));
        }

        void end() {
            write(() -> {
                generator.writeEndObject();
                generator.writeEndObject();
                generator.writeRaw('\n');
            });
        }

        private Line write(WriteAction action) {
            try {
                action.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }
    }

    private interface WriteAction {
        void run() throws IOException;
    }
}
