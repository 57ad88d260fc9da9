package beechseam.sim;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdapterTest {
    private static final String BORN = """
        {"Clock":{"SimTimeNs":5000000000}}
        {"SnapshotRows":{"RowsIn":[{"Worker":9,"Dc":"here","GenerationHw":"big","Status":1,\
        "Novel":[{"a":1}]}],"Bank":2}}
        {"Born":{"RandomSeed":3,"Options":{"Classes":[{"Name":"q","AimNs":200000000,"DeadlineNs":2000000000,\
        "Effect":"read_like","Worth":1}],"Limits":{"MaxAttempts":2,"Cancel":true,"RetryAfter":true,\
        "MaxRetryAfterNs":1000},"LoadInfo":{"How":"piggyback","Columns":["x0","outstanding"]},\
        "Locality":"here","Specifics":{"ReportX0":"free slots","ClassKind":[0]},"Kinds":["big"],\
        "Surprise":{"x":[1,2]}},"Who":4}}
        {"Topology":{"Who":4,"Form":2,"Bank":2,"Stamp":1}}
        {"Commit":{}}
        """;

    private static List<String> exchange(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.contains("NotifyMe"))
                .toList();
    }

    @Test
    void repliesWithHandOffAndDecline() throws IOException {
        assertEquals(
                List.of(
                        "{\"Yield\":{}}",
                        "{\"HandOff\":{\"Who\":4,\"Corr\":1564119492,\"Worker\":9,\"TryForNs\":0}}",
                        "{\"Yield\":{}}",
                        "{\"Decline\":{\"Who\":4,\"Corr\":1564119492,\"PauseNs\":1000}}",
                        "{\"Yield\":{}}",
                        "{\"Yield\":{}}"),
                exchange(BORN + """
            {"Clock":{"SimTimeNs":5100000000}}
            {"Inbound":{"Qos":"q","BudgetNs":2000000000,"Corr":1564119492,"Who":4,"Odd":{"deep":[[]]}}}
            {"Fanfare":{"Who":4,"Loud":true}}
            {"Commit":{}}
            {"Clock":{"SimTimeNs":5200000000}}
            {"ClosedAttempt":{"How":"no_connection","Corr":1564119492,"Who":4,"Worker":9}}
            {"Alarm":{"Who":4,"Tag":1}}
            {"Commit":{}}
            {"Clock":{"SimTimeNs":5900000000}}
            {"Alarm":{"Who":4,"Tag":1}}
            {"Commit":{}}
            """).stream()
                        .filter(line -> !line.contains("Remark"))
                        .toList());
    }

    @Test
    void shutdownAndBornInOneBatchStartNewInstance() throws IOException {
        String restart = BORN.replace("{\"Born\"", "{\"Shutdown\":{\"Who\":4}}\n{\"Born\"");
        List<String> replies = exchange(BORN + """
            {"Clock":{"SimTimeNs":5100000000}}
            {"Inbound":{"Who":4,"Corr":1,"Qos":"q","BudgetNs":2000000000}}
            {"Commit":{}}
            """ + restart + """
            {"Clock":{"SimTimeNs":9900000000}}
            {"Alarm":{"Who":4,"Tag":1}}
            {"ClosedAttempt":{"Who":4,"Corr":1,"How":"no_answer","Worker":9}}
            {"Commit":{}}
            """);
        assertEquals(
                1,
                replies.stream().filter(line -> line.contains("\"Corr\":1")).count(),
                "only the first instance's job is sent");
    }

    @Test
    void malformedInputIsAnError() {
        assertThrows(IOException.class, () -> exchange("{\"Clock\":{\"SimTimeNs\":}}\n"));
        assertThrows(IOException.class, () -> exchange("[1]\n"));
        assertThrows(IOException.class, () -> exchange(BORN + "{\"Inbound\":{\"Who\":4,\"Qos\":\"none\"}}\n"));
    }

    @Test
    void malformedInputEndsTheProcessWithOneLine() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "beechseam.sim.Adapter")
                .start();
        process.getOutputStream().write("{\"Clock\":12}\n".getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        String error = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        assertEquals(1, error.lines().count(), error);
    }
}
