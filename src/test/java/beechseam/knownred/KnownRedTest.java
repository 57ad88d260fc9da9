package beechseam.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectClass;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.junit.platform.testkit.engine.EngineTestKit;
import org.junit.platform.testkit.engine.EventStatistics;
import org.junit.platform.testkit.engine.Events;

/** The list of known failures, and its effect on the results of the listed tests. */
class KnownRedTest {
    private static final String FAILS = Sample.class.getName() + "#fails";
    private static final String PASSES = Sample.class.getName() + "#passes";
    private static final String FAILS_ONCE = Sample.class.getName() + "#failsOnce";

    /** Run only through the test kit: Surefire does not run nested classes as tests. */
    static class Sample {
        @Test
        void fails() {
            throw new AssertionError("as listed");
        }

        @Test
        void passes() {}

        @ParameterizedTest
        @ValueSource(ints = {1, 2})
        void failsOnce(int number) {
            assertEquals(1, number);
        }

        @Example
        boolean property() {
            return true;
        }
    }

    private static Events run(Path directory, boolean tests, String... lines) throws Exception {
        Path list = Files.write(directory.resolve("list.txt"), List.of(lines));
        var results = EngineTestKit.engine("junit-jupiter")
                .selectors(selectClass(Sample.class))
                .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "true")
                .configurationParameter(KnownRedExtension.FILE_PARAMETER, list.toString())
                .execute();
        return tests ? results.testEvents() : results.containerEvents();
    }

    private static String line(String test) {
        return "{\"test\": \"" + test + "\", \"seen\": \"a fault, not mended\", \"issue\": 1}";
    }

    private static String line(String test, String seed) {
        return line(test).replace("\"issue\"", "\"seed\": " + seed + ", \"issue\"");
    }

    private static String commandLine(String command) {
        return "{\"command\": \"" + command + "\", \"seed\": \"none\", \"seen\": \"a crash\", \"issue\": 1}";
    }

    /** The build does not run listed commands; it prints them. */
    @Test
    void projectListHasNoProblems() {
        KnownRedList list = KnownRedList.read(KnownRedList.FILE);
        assertEquals(List.of(), list.problems());
        list.commands()
                .forEach(each -> System.out.println(
                        "known red, not run: " + each.name() + ": " + each.seen() + " (issue " + each.issue() + ")"));
    }

    @Test
    void onlyTheListedSeedIsPassedOver(@TempDir Path directory) throws Exception {
        run(directory, true, line(FAILS_ONCE, "2"))
                .assertStatistics(
                        (EventStatistics all) -> all.aborted(1).failed(1).succeeded(2));
        assertEquals(0, run(directory, false, line(FAILS_ONCE, "2")).failed().count());
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "3"})
    void listedSeedThatPassesOrIsNotRunFailsItsClass(String seed, @TempDir Path directory) throws Exception {
        run(directory, true, line(FAILS_ONCE, seed))
                .assertStatistics((EventStatistics all) -> all.aborted(0).failed(2));
        assertEquals(1, run(directory, false, line(FAILS_ONCE, seed)).failed().count());
    }

    @ParameterizedTest
    @ValueSource(strings = {"review/2/run.sh", "mvn -B -Dtest=KnownRedTest -Dsoak.seeds=8..8 test"})
    void commandMayBeAScriptOrOneTestClass(String command) {
        KnownRedList list = KnownRedList.of("# a comment\n" + commandLine(command));
        assertEquals(List.of(), list.problems());
        assertEquals(command + " seed none", list.commands().get(0).name());
    }

    @ParameterizedTest
    @ValueSource(strings = {"review/none/run.sh", "mvn -B -Dtest=NoSuchTest test", "mvn verify"})
    void commandThatDoesNotExistIsAProblem(String command) {
        assertEquals(1, KnownRedList.of(commandLine(command)).problems().size());
    }

    @Test
    void listedFailureIsAbortedAndUnlistedOneFails(@TempDir Path directory) throws Exception {
        Events events = run(directory, true, line(FAILS));
        events.assertStatistics(all -> all.aborted(1).failed(1).succeeded(2));
        assertTrue(events.aborted().stream().allMatch(event -> event.toString().contains("a fault, not mended")));
        assertEquals(0, run(directory, false, line(FAILS)).failed().count());
    }

    @Test
    void listedTestThatPassesFailsItsClass(@TempDir Path directory) throws Exception {
        assertEquals(1, run(directory, false, line(PASSES)).failed().count());
    }

    @Test
    void listedTestMayHavePassingInvocationsBesideAFailingOne(@TempDir Path directory) throws Exception {
        run(directory, true, line(FAILS_ONCE))
                .assertStatistics((EventStatistics all) -> all.aborted(1).failed(1));
        assertEquals(0, run(directory, false, line(FAILS_ONCE)).failed().count());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "beechseam.NoSuchTest#fails",
                "beechseam.knownred.KnownRedTest#noSuchMethod",
                "beechseam.knownred.KnownRedTest$Sample#property"
            })
    void nameThatMatchesNoTestIsAProblem(String test) {
        List<String> problems = KnownRedList.of(line(test)).problems();
        assertEquals(1, problems.size(), problems.toString());
        assertTrue(problems.get(0).startsWith(test), problems.get(0));
    }

    @Test
    void duplicateIsAProblem() {
        String lines = String.join("\n", line(FAILS), line(PASSES), "", line(FAILS_ONCE), line(FAILS));
        assertEquals(List.of(FAILS + " is listed twice"), KnownRedList.of(lines).problems());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "[]",
                "{}",
                "{\"test\": \"a#b\"}",
                "{\"test\": \"a#b\", \"seen\": \"c\"}",
                "{\"test\": \"a#b\", \"issue\": 1}",
                "{\"test\": \"a\", \"seen\": \"c\", \"issue\": 1}",
                "{\"test\": \"#b\", \"seen\": \"c\", \"issue\": 1}",
                "{\"test\": \"a#b\", \"seen\": \"\", \"issue\": 1}",
                "{\"test\": \"a#b\", \"seen\": \"c\", \"issue\": \"none\"}",
                "{\"test\": \"a#b\", \"seen\": \"c\", \"issue\": 1, \"since\": 2}",
                "{\"test\": \"a#b\", \"test\": \"a#c\", \"seen\": \"c\", \"issue\": 1}",
                "{\"command\": \"a.sh\", \"seen\": \"c\", \"issue\": 1}"
            })
    void malformedEntryIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> KnownRedList.of(text));
    }

    @Test
    void missingFileIsAnEmptyList(@TempDir Path directory) {
        assertEquals(List.of(), KnownRedList.read(directory.resolve("none")).problems());
    }
}
