package beechseam.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** JSON values as maps, lists, numbers, strings and booleans. */
public final class Json {
    public static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** One whole document; a fault in it is told with its place, in bytes from the start. */
    public static Object parse(byte[] text, int from, int length) throws IOException {
        try (JsonParser in = FACTORY.createParser(text, from, length)) {
            if (in.nextToken() == null) {
                throw new IOException("an empty document");
            }
            return tree(in);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    e.getOriginalMessage() + " at byte " + e.getLocation().getByteOffset(), e);
        }
    }

    /** Lists of figures by name. */
    public static byte[] bytes(Map<String, double[]> lists) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartObject();
            for (Map.Entry<String, double[]> each : lists.entrySet()) {
                json.writeFieldName(each.getKey());
                json.writeArray(each.getValue(), 0, each.getValue().length);
            }
            json.writeEndObject();
        }
        return out.toByteArray();
    }

    /** Writes a file that holds a list of objects, each a row of figures and words by name. */
    public static void rows(Path file, List<? extends Map<String, ?>> rows) throws IOException {
        try (OutputStream out = Files.newOutputStream(file);
                JsonGenerator json = FACTORY.createGenerator(out)) {
            json.useDefaultPrettyPrinter().writeStartArray();
            for (Map<String, ?> row : rows) {
                json.writeStartObject();
                for (Map.Entry<String, ?> each : row.entrySet()) {
                    json.writeFieldName(each.getKey());
                    if (each.getValue() instanceof Number n) {
                        json.writeNumber(n.doubleValue());
                    } else if (each.getValue() instanceof Boolean b) {
                        json.writeBoolean(b);
                    } else {
                        json.writeString(each.getValue().toString());
                    }
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        }
    }

    /** The value at the parser. */
    public static Object tree(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new HashMap<>();
                while (in.nextToken() == com.fasterxml.jackson.core.JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    map.put(name, tree(in));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != com.fasterxml.jackson.core.JsonToken.END_ARRAY) {
                    list.add(tree(in));
                }
                return list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return in.getNumberValue();
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
                return in.getText();
            }
        }
    }
}
