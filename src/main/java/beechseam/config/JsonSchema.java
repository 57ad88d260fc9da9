package beechseam.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;

/**
 * Generates a JSON Schema (draft 2020-12) of a configuration from the keys that were declared while a sample of it
 * was read.
 */
public final class JsonSchema {
    private static final String DRAFT = "https://json-schema.org/draft/2020-12/schema";
    private static final String NOT_BLANK_PATTERN = "\\S";
    private static final String ADDRESS_PATTERN = "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$";

    private JsonSchema() {}

    /**
     * The schema as indented JSON with a trailing newline.
     *
     * @param sample a configuration that has been read and has at least one object in each list
     * @param title title of the schema
     */
    public static String of(ConfigNode sample, String title) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(text)) {
            json.useDefaultPrettyPrinter().writeStartObject();
            json.writeStringField("$schema", DRAFT);
            json.writeStringField("title", title);
            writeObject(json, sample);
            json.writeEndObject();
        }
        return text + "\n";
    }

    private static void writeObject(JsonGenerator json, ConfigNode node) throws IOException {
        json.writeStringField("type", "object");
        json.writeBooleanField("additionalProperties", false);
        List<String> required = node.keys().entrySet().stream()
                .filter(each -> each.getValue().required())
                .map(Map.Entry::getKey)
                .toList();
        if (!required.isEmpty()) {
            writeStrings(json, "required", required);
        }
        json.writeObjectFieldStart("properties");
        for (Map.Entry<String, KeySchema> each : node.keys().entrySet()) {
            json.writeObjectFieldStart(each.getKey());
            writeType(json, each.getValue());
            writeDefault(json, each.getValue());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void writeType(JsonGenerator json, KeySchema key) throws IOException {
        switch (key.kind()) {
            case TEXT, DIRECTORY -> writeText(json, NOT_BLANK_PATTERN);
            case ADDRESS -> writeText(json, ADDRESS_PATTERN);
            case INTEGER, NUMBER -> writeNumberType(json, key);
            case BOOLEAN -> json.writeStringField("type", "boolean");
            case CHOICE -> writeStrings(json, "enum", key.choices());
            case NUMBER_LIST -> {
                json.writeStringField("type", "array");
                json.writeObjectFieldStart("items");
                json.writeStringField("type", "number");
                json.writeEndObject();
            }
            case OBJECT -> writeObject(json, key.child());
            case OBJECT_LIST -> writeObjectListOrWildcard(json, key);
            default -> throw new IllegalStateException(key.kind().name());
        }
    }

    private static void writeText(JsonGenerator json, String pattern) throws IOException {
        json.writeStringField("type", "string");
        json.writeStringField("pattern", pattern);
    }

    private static void writeNumberType(JsonGenerator json, KeySchema key) throws IOException {
        boolean integer = key.kind() == KeySchema.Kind.INTEGER;
        json.writeStringField("type", integer ? "integer" : "number");
        json.writeFieldName("minimum");
        writeNumber(json, key.minimum(), integer);
        json.writeFieldName("maximum");
        writeNumber(json, key.maximum(), integer);
    }

    private static void writeObjectListOrWildcard(JsonGenerator json, KeySchema key) throws IOException {
        if (key.choices() == null) {
            writeObjectList(json, key.child());
            return;
        }
        json.writeArrayFieldStart("anyOf");
        json.writeStartObject();
        json.writeStringField("const", key.choices().get(0));
        json.writeEndObject();
        json.writeStartObject();
        writeObjectList(json, key.child());
        json.writeEndObject();
        json.writeEndArray();
    }

    private static void writeObjectList(JsonGenerator json, ConfigNode element) throws IOException {
        json.writeStringField("type", "array");
        json.writeObjectFieldStart("items");
        writeObject(json, element);
        json.writeEndObject();
    }

    private static void writeDefault(JsonGenerator json, KeySchema key) throws IOException {
        Object value = key.defaultValue();
        if (value == null) {
            return;
        }
        json.writeFieldName("default");
        if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof Number number) {
            writeNumber(json, number.doubleValue(), key.kind() == KeySchema.Kind.INTEGER);
        } else {
            json.writeString(value.toString());
        }
    }

    private static void writeNumber(JsonGenerator json, double value, boolean integer) throws IOException {
        if (integer || ConfigNode.isExactInteger(value)) {
            json.writeNumber((long) value);
        } else {
            json.writeNumber(value);
        }
    }

    private static void writeStrings(JsonGenerator json, String field, List<String> values) throws IOException {
        json.writeArrayFieldStart(field);
        for (String each : values) {
            json.writeString(each);
        }
        json.writeEndArray();
    }
}
