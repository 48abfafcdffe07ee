package gatelock.boot;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.function.Supplier;

/**
 * Reloads the configuration while the relay runs: on SIGHUP and when discovery fails. Files are read one at a time on
 * the single task thread of the worker, never on the I/O thread.
 */
final class ConfigReloader {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /** The minimum time between two reloads because of discovery failures. */
    private static final long DISCOVERY_RELOAD_INTERVAL_US = 1_000_000;

    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final Path file;
    private final Path operatorFile;
    private final EventLoop eventLoop;
    private final Counters counters;
    private final Listener listener;
    private long discoveryReloadUs = NEVER_US;

    /** Receives the reloaded configuration on the I/O thread. */
    interface Listener {
        /**
         * Called after a configuration has been read.
         *
         * @param trigger the reason for the reload, as it appears in the log
         * @param config the relay's configuration
         * @param operator the operator's file, or null if it was not read
         */
        void reloaded(String trigger, RelayConfig config, OperatorConfig operator);
    }

    /** The result of a reload; {@code operator} is null if the operator's file was not read. */
    private record Loaded(RelayConfig config, OperatorConfig operator) {}

    /**
     * Creates a reloader. Nothing is read until one of the reload methods is called.
     *
     * @param file the relay's configuration file
     * @param operatorFile the operator's file, or null if this relay has none
     */
    ConfigReloader(Path file, Path operatorFile, EventLoop eventLoop, Counters counters, Listener listener) {
        this.file = file;
        this.operatorFile = operatorFile;
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.listener = listener;
    }

    /** Reloads both files; if that fails, nothing changes. May be called on any thread. */
    void reloadOnSighup() {
        eventLoop.offload(
                () -> load(operatorFile, Level.WARNING, "SIGHUP, what was in force stays: "), null, loaded -> {
                    if (loaded != null) {
                        listener.reloaded("SIGHUP", loaded.config(), loaded.operator());
                    }
                });
    }

    /**
     * Reloads the relay's configuration after discovery has failed, because its address may have changed, and applies
     * it if it names another address of discovery.
     *
     * <p>Guards against a SIGHUP that was never sent, was lost, or was sent to a process that was ending or had just
     * started. If a file is changed well before its SIGHUP is sent, the new addresses may be used before the signal.
     *
     * @param discovery supplies the address of discovery that is in use
     */
    void reloadOnDiscoveryFailure(Supplier<InetSocketAddress> discovery) {
        if (eventLoop.nowUs() - discoveryReloadUs < DISCOVERY_RELOAD_INTERVAL_US) {
            return;
        }
        discoveryReloadUs = eventLoop.nowUs();
        eventLoop.offload(
                () -> load(null, Level.DEBUG, "discovery failed, and the configuration could not be reloaded: "),
                null,
                loaded -> {
                    if (loaded != null && !loaded.config().discovery().equals(discovery.get())) {
                        counters.increment("moves found without SIGHUP");
                        listener.reloaded("discovery failed", loaded.config(), null);
                    }
                });
    }

    /** Reads the files; blocks. If a file is unusable, logs the cause and returns null. */
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
