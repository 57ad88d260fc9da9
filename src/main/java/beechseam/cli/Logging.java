package beechseam.cli;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Configures the backend of {@link System.Logger}. Plain text uses the JDK's own logging, which adds no start-up
 * time; Logback is loaded only if JSON is requested.
 */
final class Logging {
    /** Format of the log records on standard error. */
    enum Format {
        TEXT,
        JSON
    }

    /** Lowest severity that is logged, from the most to the least verbose. */
    enum Threshold {
        TRACE(Level.FINER),
        DEBUG(Level.FINE),
        INFO(Level.INFO),
        WARNING(Level.WARNING),
        ERROR(Level.SEVERE),
        OFF(Level.OFF);

        private final Level level;

        Threshold(Level level) {
            this.level = level;
        }
    }

    private Logging() {}

    static void set(Format format, Threshold threshold) {
        if (format == Format.JSON) {
            Json.set(threshold);
        }
        if (threshold != Threshold.INFO || format == Format.JSON) {
            Logger root = Logger.getLogger("");
            root.setLevel(threshold.level);
            for (Handler each : root.getHandlers()) {
                each.setLevel(Level.ALL);
            }
        }
    }

    /** Configures Logback; a separate class, so that Logback's classes are looked up only if JSON is requested. */
    private static final class Json {
        static void set(Threshold threshold) {
            LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
            context.reset();
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.setWithContext(false);
            encoder.setWithSequenceNumber(false);
            encoder.setWithArguments(false);
            encoder.setWithMDC(false);
            encoder.setWithMarkers(false);
            encoder.setWithFormattedMessage(false);
            encoder.start();
            ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
            appender.setContext(context);
            appender.setTarget("System.err");
            appender.setEncoder(encoder);
            appender.start();
            ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
            root.setLevel(
                    switch (threshold) {
                        case TRACE -> ch.qos.logback.classic.Level.TRACE;
                        case DEBUG -> ch.qos.logback.classic.Level.DEBUG;
                        case INFO -> ch.qos.logback.classic.Level.INFO;
                        case WARNING -> ch.qos.logback.classic.Level.WARN;
                        case ERROR -> ch.qos.logback.classic.Level.ERROR;
                        case OFF -> ch.qos.logback.classic.Level.OFF;
                    });
            root.addAppender(appender);
            SLF4JBridgeHandler.removeHandlersForRootLogger();
            SLF4JBridgeHandler.install();
        }
    }
}
