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
 * Writes log lines through logback, plain or as JSON, where the operator's file asks for it. The code goes on logging
 * through System.Logger; what comes out of that at java.util.logging goes on from here, and the named values of a line
 * become its fields.
 */
final class LogbackHandler extends Handler {
    private final LoggerContext context;

    private LogbackHandler(LoggerContext context) {
        this.context = context;
    }

    /** Held here, as java.util.logging forgets the level of a logger that nobody references. */
    private static final Logger OWN_LOGGER = Logger.getLogger("gatelock");

    /**
     * Sends all log lines through logback from now on.
     *
     * @param json whether lines are JSON
     * @param levelName the least level of this program's own lines; null for INFO
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
        OWN_LOGGER.setLevel(debug ? java.util.logging.Level.FINE : java.util.logging.Level.INFO);
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
    public void publish(LogRecord entry) {
        LoggingEventBuilder event =
                context.getLogger(String.valueOf(entry.getLoggerName())).atLevel(slf4jLevel(entry.getLevel()));
        Object[] values = entry.getParameters();
        String text = String.valueOf(entry.getMessage());
        if (values != null && values.length > 0) {
            for (Object value : values) {
                if (value instanceof LogField field) {
                    event = event.addKeyValue(field.name(), String.valueOf(field.value()));
                }
            }
            text = MessageFormat.format(text, values);
        }
        // The text is complete: braces in it are no placeholders for logback.
        event.setCause(entry.getThrown()).log(text.replace("{}", "{ }"));
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
        // the console is written through
    }

    @Override
    public void close() {
        // lines go on until the process ends
    }
}
