package gatelock.http;

import java.util.concurrent.TimeUnit;
import java.util.logging.Filter;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Limits how often a library repeats its warnings about a condition that lasts, such as a full file table. */
final class RepeatedWarningFilter implements Filter {
    private static final long INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);
    /** Referenced here, as loggers without a reference lose their filter. */
    private static final Logger XNIO = Logger.getLogger("org.xnio.nio");

    private boolean logged;
    private long lastNs;

    /** Limits the warnings of XNIO from now on. */
    static void install() {
        XNIO.setFilter(new RepeatedWarningFilter());
    }

    @Override
    public synchronized boolean isLoggable(LogRecord entry) {
        if (entry.getLevel().intValue() < java.util.logging.Level.WARNING.intValue()) {
            return true;
        }
        long nowNs = System.nanoTime();
        if (logged && nowNs - lastNs < INTERVAL_NS) {
            return false;
        }
        logged = true;
        lastNs = nowNs;
        return true;
    }
}
