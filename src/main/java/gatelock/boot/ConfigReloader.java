package gatelock.boot;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.function.Supplier;

/**
 * Reads the configuration again while the relay runs: on SIGHUP, and when discovery fails. Files are read on the
 * worker's one task thread, one after the other, and never on the I/O thread.
 */
final class ConfigReloader {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /** The least time between two reads for a failing discovery. */
    private static final long DISCOVERY_RELOAD_INTERVAL_US = 1_000_000;

    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final Path file;
    private final Path operatorFile;
    private final EventLoop eventLoop;
    private final Counters counters;
    private final Listener listener;
    private long discoveryReloadUs = NEVER_US;

    /** Takes what was read, on the I/O thread. */
    interface Listener {
        /**
         * A configuration was read.
         *
         * @param trigger why it was read, in the words of the log
         * @param operator null where the operator's file was not read
         */
        void reloaded(String trigger, RelayConfig config, OperatorConfig operator);
    }

    /** What was read; {@code operator} is null where the operator's file was not. */
    private record Loaded(RelayConfig config, OperatorConfig operator) {}

    /**
     * Creates a reloader that reads nothing yet.
     *
     * @param operatorFile null where this relay has none
     */
    ConfigReloader(Path file, Path operatorFile, EventLoop eventLoop, Counters counters, Listener listener) {
        this.file = file;
        this.operatorFile = operatorFile;
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.listener = listener;
    }

    /** Reads both files; on a failure nothing changes. May be called on any thread. */
    void reloadOnSighup() {
        eventLoop.offload(
                () -> load(operatorFile, Level.WARNING, "SIGHUP, what was in force stays: "), null, loaded -> {
                    if (loaded != null) {
                        listener.reloaded("SIGHUP", loaded.config(), loaded.operator());
                    }
                });
    }

    /**
     * Discovery has failed, so its address may have changed: follows the one that the configuration names now.
     *
     * <p>Guards against a SIGHUP that never came or came to nobody: to a process that ends or has just begun, or one
     * that was lost on its way. Could do harm where a file is changed well before its SIGHUP: then it may be followed
     * sooner.
     *
     * @param discovery gives the address in use
     */
    void reloadOnDiscoveryFailure(Supplier<InetSocketAddress> discovery) {
        if (eventLoop.nowUs() - discoveryReloadUs < DISCOVERY_RELOAD_INTERVAL_US) {
            return;
        }
        discoveryReloadUs = eventLoop.nowUs();
        eventLoop.offload(
                () -> load(null, Level.DEBUG, "discovery fails, and so does the configuration: "), null, loaded -> {
                    if (loaded != null && !loaded.config().discovery().equals(discovery.get())) {
                        counters.increment("moves found without SIGHUP");
                        listener.reloaded("discovery failed", loaded.config(), null);
                    }
                });
    }

    /** Blocks. Returns null and logs the cause where a file can't be used. */
    private Loaded load(Path operatorFileOrNull, Level failureLevel, String failureText) {
        try {
            RelayConfig config = RelayConfig.read(file);
            OperatorConfig operator =
                    operatorFileOrNull == null ? null : OperatorConfigReader.read(operatorFileOrNull, config);
            return new Loaded(config, operator);
        } catch (IOException e) {
            LOG.log(failureLevel, failureText + e.getMessage());
            return null;
        }
    }
}
