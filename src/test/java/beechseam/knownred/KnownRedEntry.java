package beechseam.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestTemplate;
import org.junit.platform.commons.support.AnnotationSupport;

/** An entry of the list of known failures: a JUnit test, or a command that the build does not run. */
sealed interface KnownRedEntry {
    /** What was seen when it failed. */
    String seen();

    /** The number of the open issue. */
    int issue();

    /** Identifies what fails, in the form that the list and the output of the build use. */
    String name();

    /** Returns why the entry is wrong, or empty if what it names exists. */
    Optional<String> problem();

    /**
     * A test of JUnit Jupiter.
     *
     * @param seed the first argument of the one invocation of a parameterized test that fails; null for the whole test
     */
    record TestEntry(String className, String methodName, String seed, String seen, int issue)
            implements KnownRedEntry {
        @Override
        public String name() {
            return className + "#" + methodName + (seed == null ? "" : " seed " + seed);
        }

        /** Whether an invocation with these arguments is the one that the entry names. */
        boolean matches(Method method, List<Object> arguments) {
            boolean invocationNamed =
                    seed == null || !arguments.isEmpty() && seed.equals(String.valueOf(arguments.get(0)));
            return isMethod(method) && invocationNamed;
        }

        /** Whether it is a test of this method. */
        boolean isMethod(Method method) {
            return method.getName().equals(methodName)
                    && method.getDeclaringClass().getName().equals(className);
        }

        @Override
        public Optional<String> problem() {
            try {
                boolean isTest = Stream.of(Class.forName(className).getDeclaredMethods())
                        .filter(this::isMethod)
                        .anyMatch(this::isJupiterTest);
                return isTest ? Optional.empty() : Optional.of(name() + " is not a JUnit Jupiter test");
            } catch (ClassNotFoundException e) {
                return Optional.of(name() + ": the class does not exist");
            }
        }

        private boolean isJupiterTest(Method method) {
            return AnnotationSupport.isAnnotated(method, TestTemplate.class)
                    || seed == null && AnnotationSupport.isAnnotated(method, Test.class);
        }
    }

    /** A command to be run by hand from the project's root: a script of the project, or Maven with one test class. */
    record CommandEntry(String command, String seed, String seen, int issue) implements KnownRedEntry {
        private static final Pattern MAVEN_TEST = Pattern.compile("mvn .*-Dtest=(\\w+).*");

        @Override
        public String name() {
            return command + " seed " + seed;
        }

        @Override
        public Optional<String> problem() {
            Matcher maven = MAVEN_TEST.matcher(command);
            boolean exists = maven.matches()
                    ? testClassExists(maven.group(1))
                    : Files.isExecutable(Path.of(command.split(" ")[0]));
            return exists ? Optional.empty() : Optional.of(command + ": the script or test class does not exist");
        }

        private static boolean testClassExists(String simpleName) {
            try (Stream<Path> sources = Files.walk(Path.of("src/test/java"))) {
                return sources.anyMatch(each -> each.getFileName().toString().equals(simpleName + ".java"));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
