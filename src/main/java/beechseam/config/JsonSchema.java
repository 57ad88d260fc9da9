package beechseam.config;

import beechseam.config.ConfigNode.Asked;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;

/**
 * A JSON Schema (draft 2020-12) of what the program asks of a configuration: made of a sample that it has
 * read.
 */
public final class JsonSchema {
    private static final String ADDRESS = "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$";

    private JsonSchema() {}

    /**
     * The schema as indented JSON with a line end. {@code sample} has been read and has an object of each
     * kind.
     */
    public static String of(ConfigNode sample, String title) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = Json.FACTORY.createGenerator(text)) {
            g.useDefaultPrettyPrinter().writeStartObject();
            g.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            g.writeStringField("title", title);
            object(g, sample);
            g.writeEndObject();
        }
        return text + "\n";
    }

    private static void object(JsonGenerator g, ConfigNode of) throws IOException {
        g.writeStringField("type", "object");
        g.writeBooleanField("additionalProperties", false);
        List<String> required = of.asked().entrySet().stream()
                .filter(e -> e.getValue().required())
                .map(Map.Entry::getKey)
                .toList();
        if (!required.isEmpty()) {
            g.writeArrayFieldStart("required");
            for (String each : required) {
                g.writeString(each);
            }
            g.writeEndArray();
        }
        g.writeObjectFieldStart("properties");
        for (Map.Entry<String, Asked> each : of.asked().entrySet()) {
            g.writeObjectFieldStart(each.getKey());
            value(g, each.getValue());
            g.writeEndObject();
        }
        g.writeEndObject();
    }

    private static void value(JsonGenerator g, Asked a) throws IOException {
        switch (a.kind()) {
            case TEXT, DIRECTORY -> text(g);
            case ADDRESS -> {
                g.writeStringField("type", "string");
                g.writeStringField("pattern", ADDRESS);
            }
            case WHOLE, NUMBER -> {
                boolean whole = a.kind() == ConfigNode.Kind.WHOLE;
                g.writeStringField("type", whole ? "integer" : "number");
                bound(g, "minimum", a.least(), whole);
                bound(g, "maximum", a.most(), whole);
            }
            case FLAG -> g.writeStringField("type", "boolean");
            case WORD -> {
                g.writeArrayFieldStart("enum");
                for (String each : a.words()) {
                    g.writeString(each);
                }
                g.writeEndArray();
            }
            case NUMBERS -> {
                g.writeStringField("type", "array");
                g.writeObjectFieldStart("items");
                g.writeStringField("type", "number");
                g.writeEndObject();
            }
            case OBJECT -> object(g, a.child());
            case OBJECTS -> {
                if (a.words() != null) {
                    g.writeArrayFieldStart("anyOf");
                    g.writeStartObject();
                    g.writeStringField("const", a.words().get(0));
                    g.writeEndObject();
                    g.writeStartObject();
                }
                g.writeStringField("type", "array");
                g.writeObjectFieldStart("items");
                object(g, a.child());
                g.writeEndObject();
                if (a.words() != null) {
                    g.writeEndObject();
                    g.writeEndArray();
                }
            }
            default -> throw new IllegalStateException(a.kind().name());
        }
        if (a.otherwise() != null) {
            g.writeFieldName("default");
            if (a.otherwise() instanceof Boolean b) {
                g.writeBoolean(b);
            } else if (a.otherwise() instanceof Number n) {
                number(g, n.doubleValue(), a.kind() == ConfigNode.Kind.WHOLE);
            } else {
                g.writeString(a.otherwise().toString());
            }
        }
    }

    private static void text(JsonGenerator g) throws IOException {
        g.writeStringField("type", "string");
        g.writeStringField("pattern", "\\S");
    }

    private static void bound(JsonGenerator g, String name, double value, boolean whole) throws IOException {
        g.writeFieldName(name);
        number(g, value, whole);
    }

    private static void number(JsonGenerator g, double value, boolean whole) throws IOException {
        if (whole || value == Math.rint(value) && Math.abs(value) < 1e15) {
            g.writeNumber((long) value);
        } else {
            g.writeNumber(value);
        }
    }
}
