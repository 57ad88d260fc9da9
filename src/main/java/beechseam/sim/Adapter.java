package beechseam.sim;

import beechseam.config.ModuleOptions;
import beechseam.dispatch.Dispatcher;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's wire on a pair of streams and hosts any number of instances; it decides nothing. */
public final class Adapter {
    private static final int COUNT_OF_BANKS = 16;
    private static final EndpointUpdate[] FORMS = {
        EndpointUpdate.DELTA, EndpointUpdate.SNAPSHOT, EndpointUpdate.CACHED, EndpointUpdate.FAILED
    };

    private final JsonParser in;
    private final Replies out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<WorkerEndpoint>> banks = new ArrayList<>();
    private long now;

    /** One instance of the module with what the wire needs to know of it. */
    private record Instance(Dispatcher module, ModuleOptions options) {}

    public Adapter(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        this.in = factory.createParser(in);
        this.out = new Replies(factory.createGenerator(out));
        for (int i = 0; i < COUNT_OF_BANKS; i++) {
            banks.add(List.of());
        }
    }

    public static void main(String[] args) {
        try {
            new Adapter(System.in, new java.io.FileOutputStream(java.io.FileDescriptor.out)).run();
        } catch (JsonProcessingException e) {
            end("malformed input at line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            end("malformed input: " + e.getMessage());
        }
    }

    private static void end(String message) {
        System.err.println("beechseam: " + message.replace('\n', ' '));
        System.exit(2);
    }

    /** Reads until the end of input. */
    public void run() throws IOException {
        while (in.nextToken() != null) {
            expect(JsonToken.START_OBJECT);
            String name = in.nextFieldName();
            if (name == null) {
                throw new IOException("a message without a name");
            }
            in.nextToken();
            expect(JsonToken.START_OBJECT);
            if (name.equals("SnapshotRows")) {
                readBank();
            } else {
                Message m = Message.read(in);
                handle(name, m);
            }
            in.nextToken();
            expect(JsonToken.END_OBJECT);
        }
    }

    private void expect(JsonToken token) throws IOException {
        if (in.currentToken() != token) {
            throw new IOException("expected " + token + ", found " + in.currentToken());
        }
    }

    private void handle(String name, Message m) throws IOException {
        switch (name) {
            case "Clock" -> now = m.simTimeNs;
            case "Commit" -> out.yield();
            case "Born" -> born(m);
            case "Shutdown" -> instances.remove(m.who);
            default -> {
                Instance instance = instances.get(m.who);
                if (instance == null) {
                    return;
                }
                try {
                    tell(instance, name, m);
                } catch (RuntimeException e) {
                    out.bug(m.who, e);
                }
            }
        }
    }

    private void born(Message m) throws IOException {
        if (m.options == null) {
            throw new IOException("Born without Options");
        }
        ModuleOptions options = ModuleOptions.of(m.options);
        Dispatcher module = new Dispatcher(now, options.settings, m.randomSeed, out.forInstance(m.who));
        instances.put(m.who, new Instance(module, options));
    }

    private void tell(Instance instance, String name, Message m) throws IOException {
        Dispatcher module = instance.module;
        switch (name) {
            case "Topology" -> {
                if (m.form < 0 || m.form >= FORMS.length || m.bank < 0 || m.bank >= COUNT_OF_BANKS) {
                    throw new IOException("unknown list form or bank");
                }
                EndpointUpdate form = FORMS[m.form];
                module.endpointsUpdated(now, form, form == EndpointUpdate.FAILED ? List.of() : banks.get(m.bank));
            }
            case "Inbound" ->
                module.jobArrived(
                        now,
                        new Job(
                                m.corr,
                                instance.options.classIndex(m.qos),
                                m.budgetNs,
                                m.estimateNs,
                                m.needs > 0 ? m.needs : 1,
                                m.memNeeded,
                                instance.options.marksRetries && !m.retry));
            case "Interim" -> {
                if (m.kind == 1) {
                    module.attemptStarted(now, m.corr, m.leg);
                } else if (m.kind == 2) {
                    module.attemptProgressed(now, m.corr, m.leg, m.value);
                }
            }
            case "Begun" -> module.streamingStarted(now, m.corr, m.leg);
            case "ClosedAttempt" ->
                module.attemptEnded(
                        now, m.corr, m.leg, outcome(m.how), m.closed, instance.options.load(m.gauge, m.gaugeSize));
            case "StatusBack" ->
                module.healthCheckCompleted(
                        now, m.worker, "served".equals(m.how), instance.options.load(m.gauge, m.gaugeSize));
            case "Lapsed" -> module.clientDisconnected(now, m.corr);
            case "Alarm" -> module.timerFired(now, m.tag);
            default -> {} // unknown events and messages of peers, which the module does not use
        }
    }

    private static Outcome outcome(String how) {
        return switch (how == null ? "" : how) {
            case "served" -> Outcome.SERVED;
            case "turned_away" -> Outcome.REJECTED;
            case "no_answer" -> Outcome.TIMEOUT;
            case "no_connection" -> Outcome.UNREACHABLE;
            case "connection_lost" -> Outcome.LOST;
            case "called_off" -> Outcome.CANCELLED;
            case "not_sent" -> Outcome.NOT_SENT;
            default -> Outcome.ERROR; // server_error, and anything unknown: it may have run
        };
    }

    private void readBank() throws IOException {
        int bank = 0;
        List<WorkerEndpoint> rows = new ArrayList<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            JsonToken value = in.nextToken();
            if (field.equals("Bank")) {
                bank = in.getIntValue();
            } else if (field.equals("RowsIn") && value == JsonToken.START_ARRAY) {
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    expect(JsonToken.START_OBJECT);
                    rows.add(row());
                }
            } else {
                in.skipChildren();
            }
        }
        expect(JsonToken.END_OBJECT);
        if (bank < 0 || bank >= COUNT_OF_BANKS) {
            throw new IOException("list number " + bank);
        }
        banks.set(bank, rows);
    }

    private WorkerEndpoint row() throws IOException {
        long id = 0;
        int cell = 0;
        String zone = "";
        String kind = "";
        long born = 0;
        int status = 0;
        double weight = Double.NaN;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "Worker" -> id = in.getLongValue();
                case "Stripe" -> cell = in.getIntValue();
                case "Dc" -> zone = in.getText();
                case "GenerationHw" -> kind = in.getText();
                case "BornNs" -> born = in.getLongValue();
                case "Rating" -> weight = in.getDoubleValue();
                case "Status" -> status = in.getIntValue();
                default -> in.skipChildren();
            }
        }
        EndpointState state =
                status == 1 ? EndpointState.READY : status == 2 ? EndpointState.DRAINING : EndpointState.REMOVED;
        return new WorkerEndpoint(id, cell, zone, kind, born, state, weight);
    }
}
