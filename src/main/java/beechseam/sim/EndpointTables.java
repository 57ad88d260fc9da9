package beechseam.sim;

import beechseam.dispatch.EndpointState;
import beechseam.dispatch.WorkerEndpoint;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The endpoint lists that the simulator sends once and then refers to by number. */
final class EndpointTables {
    private static final int TABLE_COUNT = 16;

    private final List<List<WorkerEndpoint>> tables = new ArrayList<>();

    EndpointTables() {
        for (int i = 0; i < TABLE_COUNT; i++) {
            tables.add(List.of());
        }
    }

    /** Whether {@code number} is a valid list number. */
    boolean has(int number) {
        return number >= 0 && number < TABLE_COUNT;
    }

    /** The list with that number as last sent, or an empty list if none was sent. */
    List<WorkerEndpoint> get(int number) {
        return tables.get(number);
    }

    /** Reads a list from the message at whose first token the parser is positioned, and stores it. */
    void read(JsonParser in) throws IOException {
        int number = 0;
        List<WorkerEndpoint> entries = new ArrayList<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            JsonToken value = in.nextToken();
            if (field.equals("Bank")) {
                number = in.getIntValue();
            } else if (field.equals("RowsIn") && value == JsonToken.START_ARRAY) {
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    Adapter.expect(in, JsonToken.START_OBJECT);
                    entries.add(readEntry(in));
                }
            } else {
                in.skipChildren();
            }
        }
        Adapter.expect(in, JsonToken.END_OBJECT);
        if (!has(number)) {
            throw new IOException("list number is out of range: " + number);
        }
        tables.set(number, entries);
    }

    private static WorkerEndpoint readEntry(JsonParser in) throws IOException {
        long id = 0;
        int cell = 0;
        String zone = "";
        String kind = "";
        long startedNs = 0;
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
                case "BornNs" -> startedNs = in.getLongValue();
                case "Rating" -> weight = in.getDoubleValue();
                case "Status" -> status = in.getIntValue();
                default -> in.skipChildren();
            }
        }
        EndpointState state =
                status == 1 ? EndpointState.READY : status == 2 ? EndpointState.DRAINING : EndpointState.REMOVED;
        return new WorkerEndpoint(id, cell, zone, kind, startedNs, state, weight);
    }
}
