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
 * Log lines through logback, plain or as JSON, where the operator's file asks for it. System.Logger stays the
 * seam; what
 * comes out of it at java.util.logging goes on from there, and named values of a line become its fields.
 */
final class LogbackHandler extends Handler {
    private final LoggerContext context;

    private LogbackHandler(LoggerContext context) {
        this.context = context;
    }

    /** From now on all lines go this way. */
    static void through(boolean json, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setTarget("System.err");
        out.setEncoder(json ? json(context) : plain(context));
        out.start();
        Level least = Level.toLevel(level, Level.INFO);
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(out);
        context.getLogger("gatelock").setLevel(least);
        Logger all = LogManager.getLogManager().getLogger("");
        for (Handler before : all.getHandlers()) {
            all.removeHandler(before);
        }
        all.addHandler(new LogbackHandler(context));
        OURS.setLevel(least.toInt() <= Level.DEBUG_INT ? java.util.logging.Level.FINE : java.util.logging.Level.INFO);
    }

    /** Held, as java.util.logging forgets a level that nobody holds. */
    private static final Logger OURS = Logger.getLogger("gatelock");

    private static EncoderBase<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.setWithContext(false);
        encoder.start();
        return encoder;
    }

    private static EncoderBase<ILoggingEvent> plain(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger %msg%n");
        encoder.start();
        return encoder;
    }

    @Override
    public void publish(LogRecord line) {
        int weight = line.getLevel().intValue();
        org.slf4j.event.Level level = weight >= 1000
                ? org.slf4j.event.Level.ERROR
                : weight >= 900
                        ? org.slf4j.event.Level.WARN
                        : weight >= 800 ? org.slf4j.event.Level.INFO : org.slf4j.event.Level.DEBUG;
        LoggingEventBuilder out =
                context.getLogger(String.valueOf(line.getLoggerName())).atLevel(level);
        Object[] values = line.getParameters();
        String text = String.valueOf(line.getMessage());
        if (values != null && values.length > 0) {
            for (Object value : values) {
                if (value instanceof LogField named) {
                    out = out.addKeyValue(named.name(), String.valueOf(named.value()));
                }
            }
            text = MessageFormat.format(text, values);
        }
        out.setCause(line.getThrown()).log(text.replace("{}", "{ }"));
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
