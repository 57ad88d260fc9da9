package beechseam.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON values as maps, lists, numbers, strings and booleans. */
public final class Json {
    /** Shared factory of parsers and generators. */
    public static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /**
     * Parses a document.
     *
     * @throws IOException if it is not JSON; the message gives the position in bytes from the start
     */
    public static Object parse(byte[] text, int from, int length) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text, from, length)) {
            if (parser.nextToken() == null) {
                throw new IOException("the document is empty");
            }
            return tree(parser);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    e.getOriginalMessage() + " at byte " + e.getLocation().getByteOffset(), e);
        }
    }

    /** Serializes an object whose members are arrays of numbers, as UTF-8. */
    public static byte[] bytes(Map<String, double[]> lists) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(buffer)) {
            json.writeStartObject();
            for (Map.Entry<String, double[]> each : lists.entrySet()) {
                json.writeFieldName(each.getKey());
                json.writeArray(each.getValue(), 0, each.getValue().length);
            }
            json.writeEndObject();
        }
        return buffer.toByteArray();
    }

    /** Writes a file with an array of objects, whose members are numbers, booleans or texts. */
    public static void rows(Path file, List<? extends Map<String, ?>> rows) throws IOException {
        try (OutputStream stream = Files.newOutputStream(file);
                JsonGenerator json = FACTORY.createGenerator(stream)) {
            json.useDefaultPrettyPrinter().writeStartArray();
            for (Map<String, ?> row : rows) {
                json.writeStartObject();
                for (Map.Entry<String, ?> each : row.entrySet()) {
                    json.writeFieldName(each.getKey());
                    if (each.getValue() instanceof Number number) {
                        json.writeNumber(number.doubleValue());
                    } else if (each.getValue() instanceof Boolean flag) {
                        json.writeBoolean(flag);
                    } else {
                        json.writeString(each.getValue().toString());
                    }
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        }
    }

    /** Reads the value at the parser's current token. */
    public static Object tree(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new HashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, tree(parser));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(tree(parser));
                }
                return list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getNumberValue();
            }
            case VALUE_TRUE -> {
                return true;
            }
            case VALUE_FALSE -> {
                return false;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> {
                return parser.getText();
            }
        }
    }
}
