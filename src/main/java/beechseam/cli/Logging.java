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
 * What stands behind {@link System.Logger}. Plain text is the runtime's own and costs nothing at the start;
 * Logback is loaded only where JSON is asked for.
 */
final class Logging {
    /** The form of each record on standard error. */
    enum Format {
        TEXT,
        JSON
    }

    /** What is told, from the most to the least. */
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

    /** A class of its own, so that without it no class of the library is looked for. */
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
