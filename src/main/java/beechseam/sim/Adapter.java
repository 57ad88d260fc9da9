package beechseam.sim;

import beechseam.config.ModuleOptions;
import beechseam.dispatch.Dispatcher;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.Outcome;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects dispatchers to the simulator over a pair of streams: translates the simulator's messages into dispatcher
 * events, and the dispatchers' actions into replies. It runs any number of dispatcher instances and makes no dispatch
 * decisions itself.
 */
public final class Adapter {
    private static final EndpointUpdate[] UPDATES_BY_FORM = {
        EndpointUpdate.DELTA, EndpointUpdate.SNAPSHOT, EndpointUpdate.CACHED, EndpointUpdate.FAILED
    };

    private final JsonParser in;
    private final Replies replies;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final EndpointTables tables = new EndpointTables();
    private long now;

    /** One dispatcher instance, with the options that are needed to translate its messages. */
    private record Instance(Dispatcher dispatcher, ModuleOptions options) {}

    /** Creates an adapter that reads messages from {@code in} and writes actions to {@code out}. */
    public Adapter(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        this.in = factory.createParser(in);
        this.replies = new Replies(factory.createGenerator(out));
    }

    /** Runs the adapter on standard input and output; exits with status 2 on malformed input. */
    public static void main(String[] args) {
        try {
            new Adapter(System.in, new java.io.FileOutputStream(java.io.FileDescriptor.out)).run();
        } catch (JsonProcessingException e) {
            exitWithError("malformed input at line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            exitWithError("malformed input: " + e.getMessage());
        }
    }

    private static void exitWithError(String message) {
        System.err.println("beechseam: " + message.replace('\n', ' '));
        System.exit(2);
    }

    /**
     * Reads and handles messages until the end of input.
     *
     * @throws IOException if the input is malformed or cannot be read; its message describes the fault
     */
    public void run() throws IOException {
        while (in.nextToken() != null) {
            expect(in, JsonToken.START_OBJECT);
            String name = in.nextFieldName();
            if (name == null) {
                throw new IOException("a message has no name");
            }
            in.nextToken();
            expect(in, JsonToken.START_OBJECT);
            if (name.equals("SnapshotRows")) {
                tables.read(in);
            } else {
                Message message = Message.read(in);
                handle(name, message);
            }
            in.nextToken();
            expect(in, JsonToken.END_OBJECT);
        }
    }

    static void expect(JsonParser in, JsonToken token) throws IOException {
        if (in.currentToken() != token) {
            throw new IOException("expected " + token + ", found " + in.currentToken());
        }
    }

    private void handle(String name, Message message) throws IOException {
        switch (name) {
            case "Clock" -> now = message.simTimeNs;
            case "Commit" -> replies.yield();
            case "Born" -> createInstance(message);
            case "Shutdown" -> instances.remove(message.instanceId);
            default -> {
                Instance instance = instances.get(message.instanceId);
                if (instance == null) {
                    return;
                }
                try {
                    dispatch(instance, name, message);
                } catch (RuntimeException e) {
                    replies.bug(message.instanceId, e);
                }
            }
        }
    }

    private void createInstance(Message message) throws IOException {
        if (message.options == null) {
            throw new IOException("message Born has no field Options");
        }
        ModuleOptions options = ModuleOptions.of(message.options);
        Dispatcher dispatcher =
                new Dispatcher(now, options.settings, message.randomSeed, replies.forInstance(message.instanceId));
        instances.put(message.instanceId, new Instance(dispatcher, options));
    }

    private void dispatch(Instance instance, String name, Message message) throws IOException {
        Dispatcher dispatcher = instance.dispatcher;
        switch (name) {
            case "Topology" -> endpointsUpdated(dispatcher, message);
            case "Inbound" -> dispatcher.jobArrived(now, job(instance.options, message));
            case "Interim" -> {
                if (message.kind == 1) {
                    dispatcher.attemptStarted(now, message.jobId, message.attempt);
                } else if (message.kind == 2) {
                    dispatcher.attemptProgressed(now, message.jobId, message.attempt, message.progress);
                }
            }
            case "Begun" -> dispatcher.streamingStarted(now, message.jobId, message.attempt);
            case "ClosedAttempt" ->
                dispatcher.attemptEnded(
                        now,
                        message.jobId,
                        message.attempt,
                        outcome(message.outcomeName),
                        message.closed,
                        instance.options.load(message.loadValues, message.loadValueCount));
            case "StatusBack" ->
                dispatcher.healthCheckCompleted(
                        now,
                        message.worker,
                        "served".equals(message.outcomeName),
                        instance.options.load(message.loadValues, message.loadValueCount));
            case "Lapsed" -> dispatcher.clientDisconnected(now, message.jobId);
            case "Alarm" -> dispatcher.timerFired(now, message.tag);
            default -> {} // unknown events, and messages between peers, which the dispatcher does not use
        }
    }

    private void endpointsUpdated(Dispatcher dispatcher, Message message) throws IOException {
        int form = message.updateForm;
        if (form < 0 || form >= UPDATES_BY_FORM.length || !tables.has(message.bank)) {
            throw new IOException("message Topology has an unknown Form or Bank");
        }
        EndpointUpdate update = UPDATES_BY_FORM[form];
        dispatcher.endpointsUpdated(
                now, update, update == EndpointUpdate.FAILED ? List.of() : tables.get(message.bank));
    }

    private static Job job(ModuleOptions options, Message message) throws IOException {
        return new Job(
                message.jobId,
                options.classIndex(message.className),
                message.budgetNs,
                message.workNs,
                message.slots > 0 ? message.slots : 1,
                message.memory,
                options.marksRetries && !message.retry);
    }

    private static Outcome outcome(String name) {
        return switch (name == null ? "" : name) {
            case "served" -> Outcome.SERVED;
            case "turned_away" -> Outcome.REJECTED;
            case "no_answer" -> Outcome.TIMEOUT;
            case "no_connection" -> Outcome.UNREACHABLE;
            case "connection_lost" -> Outcome.LOST;
            case "called_off" -> Outcome.CANCELLED;
            case "not_sent" -> Outcome.NOT_SENT;
            default -> Outcome.ERROR; // server_error or an unknown name: the attempt may have run
        };
    }
}
