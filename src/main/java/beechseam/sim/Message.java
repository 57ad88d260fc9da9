package beechseam.sim;

import beechseam.config.Json;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;

/**
 * The fields of one message from the simulator, named in the dispatcher's terms; {@link #readField} maps the protocol's
 * field names to them. Fields may come in any order, and absent fields keep the protocol's defaults.
 */
final class Message {
    private static final int MAX_LOAD_VALUES = 8;

    long simTimeNs;
    int instanceId;
    long randomSeed;
    Map<?, ?> options;
    int updateForm;
    int bank;
    long jobId;
    String className = "";
    long budgetNs;
    long workNs;
    double slots;
    double memory;
    int attempt;
    long worker;
    int kind;
    double progress;
    boolean closed;
    boolean retry;
    String outcomeName;
    final double[] loadValues = new double[MAX_LOAD_VALUES];
    int loadValueCount;
    long tag;

    private Message() {}

    /** Reads the object at whose first token the parser is positioned. */
    static Message read(JsonParser in) throws IOException {
        Message message = new Message();
        String field;
        while ((field = in.nextFieldName()) != null) {
            if (in.nextToken() != JsonToken.VALUE_NULL) {
                message.readField(field, in);
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("a message object is not closed");
        }
        return message;
    }

    private void readField(String name, JsonParser in) throws IOException {
        switch (name) {
            case "SimTimeNs" -> simTimeNs = in.getLongValue();
            case "Who" -> instanceId = in.getIntValue();
            case "RandomSeed" -> randomSeed = in.getNumberValue().longValue();
            case "Options" -> options = (Map<?, ?>) Json.tree(in);
            case "Form" -> updateForm = in.getIntValue();
            case "Bank" -> bank = in.getIntValue();
            case "Corr" -> jobId = in.getLongValue();
            case "Qos" -> className = in.getText();
            case "BudgetNs" -> budgetNs = in.getLongValue();
            case "EstimateNs" -> workNs = in.getLongValue();
            case "Needs" -> slots = in.getDoubleValue();
            case "MemNeeded" -> memory = in.getDoubleValue();
            case "Leg" -> attempt = in.getIntValue();
            case "Worker" -> worker = in.getLongValue();
            case "Kind" -> kind = in.getIntValue();
            case "Value" -> progress = in.getDoubleValue();
            case "Retry" -> retry = in.getBooleanValue();
            case "Closed" -> closed = in.getBooleanValue();
            case "How" -> outcomeName = in.getText();
            case "Gauge" -> readLoadValues(in);
            case "Tag" -> tag = in.getLongValue();
            default -> in.skipChildren();
        }
    }

    private void readLoadValues(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("the load report in field Gauge is not an array");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (loadValueCount < MAX_LOAD_VALUES) {
                loadValues[loadValueCount++] =
                        in.currentToken() == JsonToken.VALUE_NULL ? Double.NaN : in.getDoubleValue();
            }
        }
    }
}
