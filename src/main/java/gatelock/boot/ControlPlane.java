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
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Versioned configuration put together as the operator's file asks for it: stream, versions on disk,
 * listener.
 */
final class ControlPlane {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /** A relay that has no version yet waits so long for its first one before it says that it is ready. */
    private static final long FIRST_WITHIN_US = 2_000_000;

    private static final long FIRST_WAIT_US = 200_000;
    private static final long LOOK_US = 20_000;
    /**
     * Guards against a version that fills the memory while it is read, of which requests would be lost: so many
     * bytes of heap
     * for each of its text, as measured, the plan before it and room for requests beside. Could turn down a large
     * version
     * that would just have fitted.
     */
    private static final long HEAP_FOR_A_BYTE = 64;

    private static final long OPEN_US = 1_000_000;
    private static final long IDLE_US = 30_000_000;

    final Admission admission;
    private final OperatorConfig.Control control;
    private final InetSocketAddress listener;
    private final EventLoop turn;
    private final ConfigUpdater updater;
    private final LastKnownGoodStore keep;
    private final ConfigSubscription subscription;
    private final AdminServer window;

    ControlPlane(OperatorConfig operator, RelayConfig told, EventLoop turn, Counters counters) {
        this.turn = turn;
        this.control = operator.control();
        this.listener = operator.listener();
        admission = new Admission(control.mostDropped());
        int mostBytes = (int) Math.min(control.mostBytes(), Runtime.getRuntime().maxMemory() / HEAP_FOR_A_BYTE);
        if (mostBytes < control.mostBytes()) {
            LOG.log(
                    Level.INFO,
                    "versions of up to " + mostBytes + " bytes are taken, not "
                            + control.mostBytes()
                            + ": more could fill this relay's memory");
        }
        keep = control.directory() == null ? null : new LastKnownGoodStore(control.directory(), mostBytes);
        updater = new ConfigUpdater(
                turn,
                counters,
                new VersionTracker(control.history()),
                admission,
                new ConfigCompiler(told.grounds()),
                keep);
        ConnectionPool lines = new ConnectionPool(turn, counters, OPEN_US, IDLE_US, 0, 2, mostBytes);
        subscription = new ConfigSubscription(
                turn,
                counters,
                lines,
                updater,
                new Backoff(
                        FIRST_WAIT_US,
                        control.mostWaitUs(),
                        new SplittableRandom(told.charter().seed() + 2)),
                told.name(),
                control.services(),
                control.holdMs());
        window = new AdminServer(turn, counters, updater, () -> subscription);
    }

    /**
     * Begins with what is on disk, then asks the control service; {@code ready} once there is a version, or
     * none came.
     */
    void start(Runnable ready) throws IOException {
        if (listener != null) {
            LOG.log(Level.INFO, "operator's listener on " + window.listen(listener));
        }
        if (keep == null) {
            follow(ready);
        } else {
            turn.<List<LastKnownGoodStore.StoredVersion>>aside(keep::readAll, List.of(), found -> {
                recover(found);
                follow(ready);
            });
        }
    }

    private void recover(List<LastKnownGoodStore.StoredVersion> found) {
        for (LastKnownGoodStore.StoredVersion stored : found) {
            if (updater.recover(stored)) {
                return;
            }
        }
    }

    private void follow(Runnable ready) {
        subscription.start();
        long byUs = turn.nowUs() + FIRST_WITHIN_US;
        await(() -> admission.plan() != null || turn.nowUs() >= byUs, ready);
    }

    private void await(BooleanSupplier what, Runnable then) {
        if (what.getAsBoolean()) {
            if (admission.plan() == null) {
                LOG.log(
                        Level.WARNING,
                        "no version came in time: reqs go by their class, without limits, " + "until one does");
            }
            then.run();
        } else {
            turn.in(LOOK_US, () -> await(what, then));
        }
    }

    /** Shows the list of endpoints to operators. */
    void shows(Supplier<DiscoveryClient.State> list) {
        window.showEndpointList(list);
    }

    /** Follows the control services that the operator's file names now. */
    void move(OperatorConfig to) {
        if (to.control() != null) {
            subscription.setServices(to.control().services());
        }
    }

    void stop() {
        subscription.stop();
        window.close();
    }
}
