package beechseam.config;

import beechseam.config.ConfigNode.KeyDeclaration;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;

/**
 * Generates a JSON Schema (draft 2020-12) of a configuration from the keys that reading a sample has declared, so
 * that no second description of the format has to be kept in step.
 */
public final class JsonSchema {
    private static final String ADDRESS = "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$";

    private JsonSchema() {}

    /**
     * Generates the schema.
     *
     * @param sample a node that has been read and holds an object of every kind
     * @param title  the schema's title
     * @return indented JSON with a line end
     */
    public static String of(ConfigNode sample, String title) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(text)) {
            json.useDefaultPrettyPrinter().writeStartObject();
            json.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            json.writeStringField("title", title);
            object(json, sample);
            json.writeEndObject();
        }
        return text + "\n";
    }

    private static void object(JsonGenerator json, ConfigNode node) throws IOException {
        json.writeStringField("type", "object");
        json.writeBooleanField("additionalProperties", false);
        List<String> required = node.declared().entrySet().stream()
                .filter(e -> e.getValue().required())
                .map(Map.Entry::getKey)
                .toList();
        if (!required.isEmpty()) {
            json.writeArrayFieldStart("required");
            for (String each : required) {
                json.writeString(each);
            }
            json.writeEndArray();
        }
        json.writeObjectFieldStart("properties");
        for (Map.Entry<String, KeyDeclaration> each : node.declared().entrySet()) {
            json.writeObjectFieldStart(each.getKey());
            value(json, each.getValue());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void value(JsonGenerator json, KeyDeclaration key) throws IOException {
        switch (key.kind()) {
            case TEXT, DIRECTORY -> text(json);
            case ADDRESS -> {
                json.writeStringField("type", "string");
                json.writeStringField("pattern", ADDRESS);
            }
            case WHOLE, NUMBER -> {
                boolean whole = key.kind() == ConfigNode.Kind.WHOLE;
                json.writeStringField("type", whole ? "integer" : "number");
                bound(json, "minimum", key.least(), whole);
                bound(json, "maximum", key.most(), whole);
            }
            case FLAG -> json.writeStringField("type", "boolean");
            case WORD -> {
                json.writeArrayFieldStart("enum");
                for (String each : key.words()) {
                    json.writeString(each);
                }
                json.writeEndArray();
            }
            case NUMBERS -> {
                json.writeStringField("type", "array");
                json.writeObjectFieldStart("items");
                json.writeStringField("type", "number");
                json.writeEndObject();
            }
            case OBJECT -> object(json, key.child());
            case OBJECTS -> objects(json, key);
            default -> throw new IllegalStateException(key.kind().name());
        }
        defaultValue(json, key);
    }

    /** A list of objects, or the one word that may stand in its place. */
    private static void objects(JsonGenerator json, KeyDeclaration key) throws IOException {
        if (key.words() != null) {
            json.writeArrayFieldStart("anyOf");
            json.writeStartObject();
            json.writeStringField("const", key.words().get(0));
            json.writeEndObject();
            json.writeStartObject();
        }
        json.writeStringField("type", "array");
        json.writeObjectFieldStart("items");
        object(json, key.child());
        json.writeEndObject();
        if (key.words() != null) {
            json.writeEndObject();
            json.writeEndArray();
        }
    }

    private static void defaultValue(JsonGenerator json, KeyDeclaration key) throws IOException {
        if (key.defaultValue() != null) {
            json.writeFieldName("default");
            if (key.defaultValue() instanceof Boolean flag) {
                json.writeBoolean(flag);
            } else if (key.defaultValue() instanceof Number number) {
                number(json, number.doubleValue(), key.kind() == ConfigNode.Kind.WHOLE);
            } else {
                json.writeString(key.defaultValue().toString());
            }
        }
    }

    private static void text(JsonGenerator json) throws IOException {
        json.writeStringField("type", "string");
        json.writeStringField("pattern", "\\S");
    }

    private static void bound(JsonGenerator json, String name, double value, boolean whole) throws IOException {
        json.writeFieldName(name);
        number(json, value, whole);
    }

    private static void number(JsonGenerator json, double value, boolean whole) throws IOException {
        if (whole || value == Math.rint(value) && Math.abs(value) < 1e15) {
            json.writeNumber((long) value);
        } else {
            json.writeNumber(value);
        }
    }
}
