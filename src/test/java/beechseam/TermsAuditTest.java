package beechseam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the table of the audited terms: each row has a state and names code and tests that exist. */
class TermsAuditTest {
    private static final Path TABLE = Path.of("docs", "terms-audit.md");
    private static final Path CLASSES = Path.of("target", "classes");
    private static final Path TEST_CLASSES = Path.of("target", "test-classes");
    private static final Set<String> STATES = Set.of("holds", "fixed", "open", "not reached");
    private static final int CELLS = 6;
    private static final Pattern PLACE = Pattern.compile("`(\\w+)\\.(\\w+)`");
    private static final Pattern TEST = Pattern.compile("(\\w+)#(\\w+)");
    private static final String NONE = "-";
    private static final String HEADING =
            "| page | clause | hardest fair reading | kept in | test at its limit | state |";

    /** One row of the table; {@code cells} are the texts of its columns in order. */
    private record Row(int line, List<String> cells) {
        private String places() {
            return cells.get(3);
        }

        private String tests() {
            return cells.get(4);
        }

        private String state() {
            return cells.get(5);
        }

        private boolean shown() {
            return state().equals("holds") || state().equals("fixed");
        }
    }

    private static List<Row> rows(List<String> lines) {
        List<Row> rows = new ArrayList<>();
        boolean inTable = false;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            inTable = line.equals(HEADING) || inTable && line.startsWith("|");
            if (inTable && !line.equals(HEADING) && !line.startsWith("| ---")) {
                String inner = line.substring(1, line.length() - 1);
                rows.add(new Row(
                        i + 1,
                        Arrays.stream(inner.split("\\|", -1)).map(String::strip).toList()));
            }
        }
        return rows;
    }

    private static List<String> problems(Row row) throws IOException {
        List<String> problems = new ArrayList<>();
        if (row.cells().size() != CELLS) {
            return List.of("line " + row.line() + ": " + row.cells().size() + " cells, not " + CELLS);
        }
        if (!STATES.contains(row.state())) {
            problems.add("line " + row.line() + ": unknown state: " + row.state());
        }
        if (row.shown() && !TEST.matcher(row.tests()).find()) {
            problems.add("line " + row.line() + ": " + row.state() + " without a test");
        }
        if (row.shown() && !PLACE.matcher(row.places()).find()) {
            problems.add("line " + row.line() + ": " + row.state() + " without a place in the code");
        }
        for (String cell : List.of(row.places(), row.tests())) {
            String rest = PLACE.matcher(TEST.matcher(cell).replaceAll("")).replaceAll("");
            if (!rest.replaceAll("[ ,]", "").replace(NONE, "").isEmpty()) {
                problems.add("line " + row.line() + ": neither a name nor \"-\": " + rest);
            }
        }
        problems.addAll(missing(row, PLACE.matcher(row.places()), CLASSES));
        problems.addAll(missing(row, TEST.matcher(row.tests()), TEST_CLASSES));
        return problems;
    }

    private static List<String> missing(Row row, Matcher names, Path root) throws IOException {
        List<String> missing = new ArrayList<>();
        while (names.find()) {
            if (!exists(root, names.group(1), names.group(2))) {
                missing.add("line " + row.line() + ": does not exist: " + names.group());
            }
        }
        return missing;
    }

    /** Returns whether a class with that simple name declares a method or field named {@code member}. */
    private static boolean exists(Path root, String simpleName, String member) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.map(root::relativize)
                    .map(Path::toString)
                    .filter(file -> file.matches("(.*[/$])?" + simpleName + "\\.class"))
                    .anyMatch(file -> has(file, member));
        }
    }

    private static boolean has(String file, String member) {
        String name = file.substring(0, file.length() - ".class".length()).replace('/', '.');
        try {
            Class<?> type = Class.forName(name, false, TermsAuditTest.class.getClassLoader());
            Stream<String> methods = Arrays.stream(type.getDeclaredMethods()).map(Method::getName);
            Stream<String> fields = Arrays.stream(type.getDeclaredFields()).map(Field::getName);
            return Stream.concat(methods, fields).anyMatch(member::equals);
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void everyRowHasAStateAndNamesExistingCode() throws IOException {
        List<Row> rows = rows(Files.readAllLines(TABLE));
        assertTrue(rows.size() > 80, "rows: " + rows.size());
        List<String> problems = new ArrayList<>();
        for (Row row : rows) {
            problems.addAll(problems(row));
        }
        assertEquals(List.of(), problems);
    }

    /** Each kind of fault in a row is reported exactly once. */
    @Test
    void faultyRowsAreFound() throws IOException {
        String good = "| P | may | first | `AttemptLifecycle.end` | TermsAuditTest#faultyRowsAreFound | holds |";
        assertEquals(0, problemsOf(good));
        assertEquals(1, problemsOf(good.replace("holds", "")));
        assertEquals(1, problemsOf(good.replace("holds", "holds, mostly")));
        assertEquals(1, problemsOf(good.replace("| first ", "")));
        assertEquals(1, problemsOf(good.replace("`AttemptLifecycle.end`", "`AttemptLifecycle.ends`")));
        assertEquals(1, problemsOf(good.replace("`AttemptLifecycle.end`", "-")));
        assertEquals(1, problemsOf(good.replace("TermsAuditTest#faultyRowsAreFound", "-")));
        assertEquals(1, problemsOf(good.replace("#faultyRowsAreFound", "#noSuchTest")));
        assertEquals(1, problemsOf(good.replace("TermsAuditTest#faultyRowsAreFound", "NoSuchTest#x")));
        assertEquals(1, problemsOf(good.replace("`AttemptLifecycle.end`", "`AttemptLifecycle.end`, somewhere")));
    }

    private static int problemsOf(String line) throws IOException {
        return problems(rows(List.of(HEADING, line)).get(0)).size();
    }
}
