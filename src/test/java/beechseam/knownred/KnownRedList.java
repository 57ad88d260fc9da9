package beechseam.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestTemplate;
import org.junit.platform.commons.support.AnnotationSupport;

/**
 * The tests that are known to fail, read from a file with one test per line: {@code class#method, cause, issue}.
 * A cause may contain commas. The file may be missing or empty; blank lines are ignored.
 */
final class KnownRedList {
    /** Default path of the list, relative to the project root, in which the tests run. */
    static final Path FILE = Path.of("KNOWN-RED.txt");
    /** Maximum number of listed tests. */
    static final int MAX_ENTRIES = 3;

    /** A test that fails for a known cause that is not fixed yet. */
    record Entry(String className, String methodName, String cause, String issue) {
        private static Entry of(String line) {
            int first = line.indexOf(',');
            int last = line.lastIndexOf(',');
            String test = first < 0 ? "" : line.substring(0, first).strip();
            String[] name = test.split("#", -1);
            String cause = first < last ? line.substring(first + 1, last).strip() : "";
            String issue = line.substring(last + 1).strip();
            boolean named = name.length == 2 && !name[0].isEmpty() && !name[1].isEmpty();
            if (!named || cause.isEmpty() || issue.isEmpty()) {
                throw new IllegalArgumentException("not of the form 'class#method, cause, issue': " + line);
            }
            return new Entry(name[0], name[1], cause, issue);
        }

        /** Returns the test as {@code class#method}, the form used in the list. */
        String test() {
            return className + "#" + methodName;
        }

        private boolean names(Method method) {
            return method.getName().equals(methodName)
                    && method.getDeclaringClass().getName().equals(className);
        }

        private Optional<String> problem() {
            try {
                Stream<Method> methods = Stream.of(Class.forName(className).getDeclaredMethods());
                boolean isTest = methods.filter(this::names).anyMatch(KnownRedList::isJupiterTest);
                return isTest ? Optional.empty() : Optional.of(test() + " is not a JUnit Jupiter test");
            } catch (ClassNotFoundException e) {
                return Optional.of(test() + ": the class does not exist");
            }
        }
    }

    private final List<Entry> entries;

    private KnownRedList(List<Entry> entries) {
        this.entries = entries;
    }

    /** Reads the list from a file; a missing file is an empty list. */
    static KnownRedList read(Path file) {
        try {
            return of(Files.readAllLines(file));
        } catch (NoSuchFileException e) {
            return of(List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static KnownRedList of(List<String> lines) {
        return new KnownRedList(
                lines.stream().filter(line -> !line.isBlank()).map(Entry::of).toList());
    }

    /** Returns the entry of a test method, if it is listed. */
    Optional<Entry> find(Method method) {
        return entries.stream().filter(entry -> entry.names(method)).findFirst();
    }

    /** Returns the errors of the list itself: too many entries, duplicates, and names that match no test. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        if (entries.size() > MAX_ENTRIES) {
            problems.add(entries.size() + " tests are listed, " + MAX_ENTRIES + " is the maximum");
        }
        Set<String> seen = new HashSet<>();
        for (Entry entry : entries) {
            if (!seen.add(entry.test())) {
                problems.add(entry.test() + " is listed twice");
            }
            entry.problem().ifPresent(problems::add);
        }
        return problems;
    }

    private static boolean isJupiterTest(Method method) {
        return AnnotationSupport.isAnnotated(method, Test.class)
                || AnnotationSupport.isAnnotated(method, TestTemplate.class);
    }
}
