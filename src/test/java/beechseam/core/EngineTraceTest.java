package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.Idempotency;
import beechseam.dispatch.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the format of the trace lines, which tools parse. */
class EngineTraceTest {
    private final Logger logger = Logger.getLogger(Engine.class.getName());
    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord entry) {
            if (entry.getLevel().equals(Level.FINER)) {
                lines.add(entry.getMessage());
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void addHandler() {
        handler.setLevel(Level.ALL);
        logger.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
        logger.setLevel(null);
    }

    private void runOneRequest() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.submit("a");
        Attempt attempt = harness.inFlight.remove(0);
        harness.engine.attemptStarted(attempt);
        harness.engine.attemptEnded(attempt, Outcome.SERVED, new byte[0], null);
    }

    @Test
    void eachEventOfARequestHasALine() {
        logger.setLevel(Level.FINER);
        runOneRequest();
        assertTrue(lines.get(0).startsWith("engine started settings="), lines.get(0));
        assertTrue(lines.get(1).startsWith("endpoints updated update=SNAPSHOT now_ns="), lines.get(1));
        assertTrue(lines.contains("request accepted job=1 class=0 budget_ns=4000000000 first_attempt=false"));
        List<String> attempts = lines.stream()
                .filter(line -> line.startsWith("attempt "))
                .map(line -> line.replaceFirst("worker=[123]", "worker=N"))
                .toList();
        assertEquals(
                List.of(
                        "attempt sent job=1 attempt=0 worker=N",
                        "attempt started job=1 attempt=0 worker=N",
                        "attempt ended job=1 attempt=0 worker=N outcome=SERVED load=null"),
                attempts);
    }

    @Test
    void nothingIsWrittenAboveTraceLevel() {
        logger.setLevel(Level.FINE);
        runOneRequest();
        assertEquals(List.of(), lines);
    }
}
