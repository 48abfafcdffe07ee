package gatelock.boot;

import gatelock.config.Admission;
import gatelock.config.Backoff;
import gatelock.config.ConfigCompiler;
import gatelock.config.VersionTracker;
import gatelock.control.AdminServer;
import gatelock.control.ConfigSubscription;
import gatelock.control.ConfigUpdater;
import gatelock.control.LastKnownGoodStore;
import gatelock.discovery.DiscoveryClient;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Versioned configuration, assembled as the operator's file requests: the subscription to a control service, the
 * versions on disk and the operator listener.
 */
final class ControlPlane {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /** How long a relay without a configuration version waits for the first one before it reports that it is ready. */
    private static final long FIRST_VERSION_TIMEOUT_US = 2_000_000;

    private static final long FIRST_VERSION_CHECK_INTERVAL_US = 20_000;
    private static final long INITIAL_BACKOFF_US = 200_000;
    /**
     * Heap needed for each byte of a version's text: measured while a version is read, and including the previous
     * compiled version and room for requests. Guards against a version that exhausts the heap while it is read, which
     * would lose requests. A large version that would just have fitted may be rejected.
     */
    private static final long HEAP_BYTES_PER_TEXT_BYTE = 64;

    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    private static final long IDLE_TIMEOUT_US = 30_000_000;
    private static final int MAX_CONNECTIONS = 2;
    /** Added to the relay's seed so that the backoff draws other random numbers than the rest of the relay. */
    private static final int SEED_OFFSET = 2;

    private final Admission admission;
    private final InetSocketAddress listener;
    private final EventLoop eventLoop;
    private final ConfigUpdater updater;
    private final LastKnownGoodStore store;
    private final ConfigSubscription subscription;
    private final AdminServer adminServer;

    /**
     * Creates all parts without starting them.
     *
     * @param operator the operator's file, which must have a section for versioned configuration
     */
    ControlPlane(OperatorConfig operator, RelayConfig config, EventLoop eventLoop, Counters counters) {
        OperatorConfig.Control control = operator.control();
        this.eventLoop = eventLoop;
        this.listener = operator.listener();
        this.admission = new Admission(control.maxDroppedShare());
        int maxVersionBytes = maxVersionBytes(control);
        store = control.storeDirectory() == null
                ? null
                : new LastKnownGoodStore(control.storeDirectory(), maxVersionBytes);
        updater = new ConfigUpdater(
                eventLoop,
                counters,
                new VersionTracker(control.historySize()),
                admission,
                new ConfigCompiler(config.deploymentContext()),
                store);
        ConnectionPool pool = new ConnectionPool(
                eventLoop, counters, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, 0, MAX_CONNECTIONS, maxVersionBytes);
        Backoff backoff = new Backoff(
                INITIAL_BACKOFF_US,
                control.maxBackoffUs(),
                new SplittableRandom(config.settings().seed() + SEED_OFFSET));
        subscription = new ConfigSubscription(
                eventLoop, counters, pool, updater, backoff, config.name(), control.services(), control.holdMs());
        adminServer = new AdminServer(eventLoop, counters, updater, () -> subscription);
    }

    private static int maxVersionBytes(OperatorConfig.Control control) {
        long heapLimit = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_TEXT_BYTE;
        int max = (int) Math.min(control.maxVersionBytes(), heapLimit);
        if (max < control.maxVersionBytes()) {
            LOG.log(
                    Level.INFO,
                    "versions are limited to " + max + " bytes instead of " + control.maxVersionBytes()
                            + ": larger ones could exhaust the heap");
        }
        return max;
    }

    /** Returns the admission rules of the active configuration version. */
    Admission admission() {
        return admission;
    }

    /**
     * Starts the operator listener, recovers the latest valid version on disk, then polls the control service.
     *
     * @param ready runs once there is a version, or once the wait for the first one has timed out
     */
    void start(Runnable ready) throws IOException {
        if (listener != null) {
            LOG.log(Level.INFO, "operator listener on " + adminServer.listen(listener));
        }
        if (store == null) {
            subscribe(ready);
        } else {
            eventLoop.<List<LastKnownGoodStore.StoredVersion>>offload(store::readAll, List.of(), stored -> {
                recoverLatestValid(stored);
                subscribe(ready);
            });
        }
    }

    private void recoverLatestValid(List<LastKnownGoodStore.StoredVersion> latestFirst) {
        for (LastKnownGoodStore.StoredVersion stored : latestFirst) {
            if (updater.recover(stored)) {
                return;
            }
        }
    }

    private void subscribe(Runnable ready) {
        subscription.start();
        awaitFirstVersion(eventLoop.nowUs() + FIRST_VERSION_TIMEOUT_US, ready);
    }

    private void awaitFirstVersion(long deadlineUs, Runnable ready) {
        boolean hasVersion = admission.activeConfig() != null;
        if (!hasVersion && eventLoop.nowUs() < deadlineUs) {
            eventLoop.schedule(FIRST_VERSION_CHECK_INTERVAL_US, () -> awaitFirstVersion(deadlineUs, ready));
            return;
        }
        if (!hasVersion) {
            LOG.log(
                    Level.WARNING,
                    "no configuration version in time: until one arrives, requests are routed by class without limits");
        }
        ready.run();
    }

    /** Sets the source of the endpoint list status that operators see. */
    void setEndpointListStatus(Supplier<DiscoveryClient.ListStatus> endpointList) {
        adminServer.setEndpointListStatus(endpointList);
    }

    /** Polls the control services that a reloaded operator's file names, from now on. */
    void setServicesFrom(OperatorConfig operator) {
        if (operator.control() != null) {
            subscription.setServices(operator.control().services());
        }
    }

    /** Stops the subscription and the operator listener. */
    void stop() {
        subscription.stop();
        adminServer.close();
    }
}
