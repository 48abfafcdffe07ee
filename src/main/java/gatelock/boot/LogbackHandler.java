package gatelock.boot;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.EncoderBase;
import gatelock.state.LogField;
import java.text.MessageFormat;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Forwards log records from java.util.logging to logback, which writes them as plain text or JSON. It is installed only
 * if the operator's file configures logging. The code still logs through System.Logger, which passes records to
 * java.util.logging; the {@link LogField} parameters of a record become fields of the log line.
 */
final class LogbackHandler extends Handler {
    private final LoggerContext context;

    private LogbackHandler(LoggerContext context) {
        this.context = context;
    }

    /** A strong reference, as java.util.logging discards a logger, including its level, that is not referenced. */
    private static final Logger GATELOCK_LOGGER = Logger.getLogger("gatelock");

    /**
     * Routes all log records through logback from now on.
     *
     * @param json whether log lines are JSON
     * @param levelName the minimum level of the records that gatelock itself logs; null for INFO
     */
    static void install(boolean json, String levelName) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(json ? jsonEncoder(context) : plainEncoder(context));
        appender.start();
        Level level = Level.toLevel(levelName, Level.INFO);
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(appender);
        context.getLogger("gatelock").setLevel(level);
        replaceHandlers(new LogbackHandler(context));
        boolean debug = level.toInt() <= Level.DEBUG_INT;
        GATELOCK_LOGGER.setLevel(debug ? java.util.logging.Level.FINE : java.util.logging.Level.INFO);
    }

    private static void replaceHandlers(Handler handler) {
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler previous : root.getHandlers()) {
            root.removeHandler(previous);
        }
        root.addHandler(handler);
    }

    private static EncoderBase<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.setWithContext(false);
        encoder.start();
        return encoder;
    }

    private static EncoderBase<ILoggingEvent> plainEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger %msg%n");
        encoder.start();
        return encoder;
    }

    @Override
    public void publish(LogRecord logRecord) {
        LoggingEventBuilder event =
                context.getLogger(String.valueOf(logRecord.getLoggerName())).atLevel(slf4jLevel(logRecord.getLevel()));
        Object[] values = logRecord.getParameters();
        String text = String.valueOf(logRecord.getMessage());
        if (values != null && values.length > 0) {
            for (Object value : values) {
                if (value instanceof LogField field) {
                    event = event.addKeyValue(field.name(), String.valueOf(field.value()));
                }
            }
            text = MessageFormat.format(text, values);
        }
        // The text is already formatted, so logback must not interpret braces in it as placeholders.
        event.setCause(logRecord.getThrown()).log(text.replace("{}", "{ }"));
    }

    private static org.slf4j.event.Level slf4jLevel(java.util.logging.Level level) {
        int severity = level.intValue();
        if (severity >= java.util.logging.Level.SEVERE.intValue()) {
            return org.slf4j.event.Level.ERROR;
        }
        if (severity >= java.util.logging.Level.WARNING.intValue()) {
            return org.slf4j.event.Level.WARN;
        }
        if (severity >= java.util.logging.Level.INFO.intValue()) {
            return org.slf4j.event.Level.INFO;
        }
        return org.slf4j.event.Level.DEBUG;
    }

    @Override
    public void flush() {
        // the console appender does not buffer
    }

    @Override
    public void close() {
        // log records are accepted until the process ends
    }
}
