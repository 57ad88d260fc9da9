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
        return test + ", a fault, not mended, issue 1";
    }

    @Test
    void projectListHasNoProblems() {
        assertEquals(List.of(), KnownRedList.read(KnownRedList.FILE).problems());
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
        List<String> problems = KnownRedList.of(List.of(line(test))).problems();
        assertEquals(1, problems.size(), problems.toString());
        assertTrue(problems.get(0).startsWith(test), problems.get(0));
    }

    @Test
    void tooManyEntriesAndDuplicatesAreProblems() {
        List<String> lines = List.of(line(FAILS), line(PASSES), "", line(FAILS_ONCE), line(FAILS));
        List<String> problems = KnownRedList.of(lines).problems();
        assertEquals(List.of("4 tests are listed, 3 is the maximum", FAILS + " is listed twice"), problems);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "a#b",
                "a#b, cause",
                "a, cause, issue",
                "#b, cause, issue",
                "a#b, , issue",
                "a#b, cause,"
            })
    void malformedLineIsRejected(String line) {
        var refused = assertThrows(IllegalArgumentException.class, () -> KnownRedList.of(List.of(line)));
        assertTrue(refused.getMessage().endsWith(line), refused.getMessage());
    }

    @Test
    void missingFileIsAnEmptyList(@TempDir Path directory) {
        assertEquals(List.of(), KnownRedList.read(directory.resolve("none")).problems());
    }
}
