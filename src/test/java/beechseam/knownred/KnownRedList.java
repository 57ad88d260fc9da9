package beechseam.knownred;

import beechseam.knownred.KnownRedEntry.CommandEntry;
import beechseam.knownred.KnownRedEntry.TestEntry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The tests and commands that are known to fail, read from a file with one JSON object for each, and comment lines that
 * begin with a number sign. A test has the keys {@code test} ({@code class#method}), {@code seen}, {@code issue}, and
 * {@code seed} if only one invocation of a parameterized test fails. A command has {@code command}, {@code seed},
 * {@code seen} and {@code issue}. The file may be missing or without entries.
 */
final class KnownRedList {
    /** Default path of the list, relative to the project root, in which the tests run. */
    static final Path FILE = Path.of("KNOWN-RED.txt");

    private static final JsonFactory JSON =
            JsonFactory.builder().enable(JsonReadFeature.ALLOW_YAML_COMMENTS).build();

    private final List<KnownRedEntry> entries;

    private KnownRedList(List<KnownRedEntry> entries) {
        this.entries = entries;
    }

    /** Reads the list from a file; a missing file is an empty list. */
    static KnownRedList read(Path file) {
        try {
            return of(Files.readString(file));
        } catch (NoSuchFileException e) {
            return of("");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the list from its text; throws IllegalArgumentException if an entry is malformed. */
    static KnownRedList of(String text) {
        List<KnownRedEntry> entries = new ArrayList<>();
        try (JsonParser parser = JSON.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token != JsonToken.START_OBJECT) {
                    throw new IllegalArgumentException("not an entry: " + parser.getText());
                }
                entries.add(entry(fields(parser)));
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not a list of JSON objects: " + e.getMessage(), e);
        }
        return new KnownRedList(entries);
    }

    private static Map<String, String> fields(JsonParser parser) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            if (!parser.nextToken().isScalarValue()
                    || fields.put(key, parser.getText().strip()) != null) {
                throw new IllegalArgumentException("not a single value: " + key);
            }
        }
        return fields;
    }

    private static KnownRedEntry entry(Map<String, String> fields) {
        Map<String, String> rest = new LinkedHashMap<>(fields);
        boolean isTest = rest.containsKey("test");
        String name = required(rest, isTest ? "test" : "command");
        String seed = isTest ? rest.remove("seed") : required(rest, "seed");
        String seen = required(rest, "seen");
        String issue = required(rest, "issue");
        if (!rest.isEmpty() || !issue.matches("[1-9]\\d{0,5}")) {
            throw new IllegalArgumentException("unknown keys, or an issue that is no number: " + fields);
        }
        int number = Integer.parseInt(issue);
        if (!isTest) {
            return new CommandEntry(name, seed, seen, number);
        }
        String[] parts = name.split("#", -1);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new IllegalArgumentException("not of the form class#method: " + name);
        }
        return new TestEntry(parts[0], parts[1], seed, seen, number);
    }

    private static String required(Map<String, String> fields, String key) {
        String value = fields.remove(key);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("an entry without " + key);
        }
        return value;
    }

    /** Returns the entry of an invocation of a test method, if it is listed. */
    Optional<TestEntry> find(Method method, List<Object> arguments) {
        return tests().stream()
                .filter(entry -> entry.matches(method, arguments))
                .findFirst();
    }

    /** Returns the listed tests. */
    List<TestEntry> tests() {
        return entries.stream()
                .filter(TestEntry.class::isInstance)
                .map(TestEntry.class::cast)
                .toList();
    }

    /** Returns the listed commands. */
    List<CommandEntry> commands() {
        return entries.stream()
                .filter(CommandEntry.class::isInstance)
                .map(CommandEntry.class::cast)
                .toList();
    }

    /** Returns the errors of the list itself: duplicates, and entries that name nothing that exists. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (KnownRedEntry entry : entries) {
            if (!names.add(entry.name())) {
                problems.add(entry.name() + " is listed twice");
            }
            entry.problem().ifPresent(problems::add);
        }
        return problems;
    }
}
