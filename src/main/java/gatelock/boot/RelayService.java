package gatelock.boot;

import gatelock.discovery.DiscoveryClient;
import gatelock.http.ClientListener;
import gatelock.net.EventLoop;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One running relay: puts the parts together on one I/O thread, starts them, and shuts them down on SIGTERM. */
final class RelayService {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /**
     * After SIGTERM the platform leaves a relay alive for its longest deadline, or this long where that is longer,
     * and for {@link #SHUTDOWN_MARGIN_US} on top, in which the front proxy and clients hear of it.
     */
    private static final long MAX_COUNTED_DEADLINE_US = 3_000_000;

    private static final long SHUTDOWN_MARGIN_US = 700_000;
    /** How long before its end a relay tells its last sessions, so that they can still close in turn. */
    private static final long SESSION_CLOSE_US = 1_400_000;

    private static final long SESSION_CHECK_INTERVAL_US = 20_000;
    /**
     * Guards against an endpoint list from before a restart: what discovery has sent since counts as known to the new
     * process, and requests forwarded by the old list go to endpoints that left. Only after this long without a
     * response, at the end of a call that had all of its time, is discovery taken to be down, and the known list used.
     * Could do harm where it is down: each start is later by this, well within what a start may take.
     */
    private static final long DISCOVERY_SILENT_US = 2_000_000;

    private static final long COUNTERS_INTERVAL_US = 60_000_000;
    private static final int US_PER_S = 1_000_000;
    private static final long STACK_BYTES = 256 * 1024;
    private static final int EXIT_UNUSABLE = 2;
    /** Added to the relay's seed, so that the sessions' random draws are not those of another part. */
    private static final int SESSIONS_SEED_OFFSET = 3;

    private final StartMode mode;
    private final EventLoop eventLoop;
    private final Counters counters = new Counters();
    private final OperatorConfig operator;
    private final ConfigReloader reloader;
    private RelayConfig config;
    private ClientListener clientListener;
    private RequestPipeline pipeline;
    private ControlPlane controlPlane;
    private SessionRegistry sessions;

    private RelayService(
            Path file,
            RelayConfig config,
            Path operatorFile,
            OperatorConfig operator,
            StartMode mode,
            EventLoop eventLoop) {
        this.operator = operator;
        this.config = config;
        this.mode = mode;
        this.eventLoop = eventLoop;
        this.reloader = new ConfigReloader(file, operatorFile, eventLoop, counters, this::applyReloaded);
    }

    /**
     * Starts a relay, which runs until SIGTERM.
     *
     * @param file where {@code config} was read from, to be read again on SIGHUP
     * @param operator what the operator's own file says, or null: all that it could name is off
     */
    static void start(
            Path file,
            RelayConfig config,
            Path operatorFile,
            OperatorConfig operator,
            StartMode mode,
            SighupHandler sighup)
            throws IOException {
        if (operator != null && (operator.jsonLog() || operator.logLevel() != null)) {
            LogbackHandler.install(operator.jsonLog(), operator.logLevel());
        }
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.WORKER_NAME, "gatelock")
                        .getMap());
        EventLoop eventLoop = new EventLoop(worker.getIoThread());
        RelayService service = new RelayService(file, config, operatorFile, operator, mode, eventLoop);
        // Queued before the shutdown hook exists: a relay must have begun before it can shut down.
        eventLoop.execute(service::run);
        Runtime.getRuntime().addShutdownHook(new Thread(service::shutDownAndWait, "leave"));
        sighup.setAction(service.reloader::reloadOnSighup);
    }

    private void run() {
        try {
            clientListener =
                    new ClientListener(eventLoop, counters, config.maxSockets() / 4, config.maxSockets() * 2 / 5);
            switch (mode) {
                case COLD -> startCold();
                case WARM -> startWarm();
                case WARM_UP_ONLY -> warmUpOnly();
            }
        } catch (IOException e) {
            halt(e);
        }
    }

    private void startCold() throws IOException {
        clientListener.listen(config.listen());
        startPipeline();
        clientListener.setRequestHandler(pipeline.requestReader(), false);
        serveOnceListed(UnaryOperator.identity());
    }

    private void startWarm() throws IOException {
        InetSocketAddress address = clientListener.listen(config.listen());
        // The endpoint list and the release's state are asked for at once, and known when the warm-up ends.
        startPipeline();
        HttpHandler reader = pipeline.requestReader();
        new StartupWarmUp(config, address, eventLoop, clientListener, reader, warmUp -> {
                    clientListener.setRequestHandler(warmUp.closeOwnRequestsBefore(reader), false);
                    serveOnceListed(warmUp::closeOwnRequestsBefore);
                })
                .begin();
    }

    private void warmUpOnly() throws IOException {
        InetSocketAddress freePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress address = clientListener.listen(freePort);
        HttpHandler reject = exchange -> exchange.setStatusCode(503);
        new StartupWarmUp(
                        config,
                        address,
                        eventLoop,
                        clientListener,
                        reject,
                        warmUp -> new Thread(() -> System.exit(0)).start())
                .begin();
    }

    /** Puts the real pipeline together and begins to follow discovery and the release controller. */
    private void startPipeline() throws IOException {
        if (operator != null && operator.control() != null) {
            controlPlane = new ControlPlane(operator, config, eventLoop, counters);
            sessions = operator.sessions() == null ? null : createSessions(operator.sessions());
        }
        pipeline = new RequestPipeline(
                config,
                eventLoop,
                counters,
                clientListener,
                controlPlane == null ? null : controlPlane.admission(),
                sessions,
                operator == null ? null : operator.membership());
        pipeline.start();
        DiscoveryClient discovery = pipeline.discovery();
        if (controlPlane != null) {
            controlPlane.showEndpointList(discovery::state);
        }
        discovery.onPollFailure(() -> reloader.reloadOnDiscoveryFailure(() -> config.discovery()));
    }

    private SessionRegistry createSessions(OperatorConfig.Sessions options) {
        int max = config.maxSockets() / 10;
        if (options.max() > 0) {
            max = Math.min(options.max(), config.maxSockets() / 5);
        }
        return new SessionRegistry(
                max,
                options.opensPerEndpoint(),
                options.drainUs(),
                new SplittableRandom(config.settings().seed() + SESSIONS_SEED_OFFSET));
    }

    private void serveOnceListed(UnaryOperator<HttpHandler> wrapReader) {
        pipeline.discovery().onFirstList(DISCOVERY_SILENT_US, () -> serve(wrapReader));
    }

    private void serve(UnaryOperator<HttpHandler> wrapReader) {
        HttpHandler reader = wrapReader.apply(pipeline.requestReader());
        clientListener.setRequestHandler(reader, controlPlane == null);
        int heldRequests = pipeline.startForwarding();
        if (heldRequests > 0) {
            LOG.log(Level.INFO, "held until ready: " + heldRequests + " requests");
        }
        try {
            if (controlPlane != null) {
                controlPlane.start(() -> clientListener.setRequestHandler(reader, true));
            }
        } catch (IOException e) {
            halt(e);
        }
        LOG.log(Level.INFO, config.name() + " serves on " + config.listen());
        eventLoop.schedule(COUNTERS_INTERVAL_US, this::logCounters);
    }

    private static void halt(IOException e) {
        System.err.println("gatelock: " + e.getMessage());
        Runtime.getRuntime().halt(EXIT_UNUSABLE);
    }

    private void applyReloaded(String trigger, RelayConfig reloaded, OperatorConfig reloadedOperator) {
        LOG.log(
                Level.INFO,
                trigger + ", discovery at " + reloaded.discovery() + ", release controller at "
                        + reloaded.releaseController()
                        + (config.sameSettings(reloaded)
                                ? ""
                                : "; name, listen, limits and settings stay until a restart"));
        config = config.withAddressesOf(reloaded);
        if (pipeline != null) {
            pipeline.setAddressesFrom(config);
        }
        if (reloadedOperator == null) {
            return;
        }
        if (controlPlane != null) {
            controlPlane.setServicesFrom(reloadedOperator);
        }
        if (!operator.sameMembership(reloadedOperator)) {
            LOG.log(Level.WARNING, "membership stays as it was until a restart");
        }
    }

    /** Runs on the shutdown hook's thread, and blocks until the relay has answered all that it can. */
    private void shutDownAndWait() {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> shutDown(done::countDown));
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.log(Level.INFO, "ends: " + counters);
    }

    private void shutDown(Runnable whenDone) {
        if (controlPlane != null) {
            controlPlane.stop();
        }
        long longestDeadlineUs =
                config.deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
        long aliveUs = Math.min(longestDeadlineUs, MAX_COUNTED_DEADLINE_US) + SHUTDOWN_MARGIN_US;
        if (sessions != null) {
            sessions.drainAll(eventLoop.nowUs(), eventLoop.nowUs() + aliveUs - SESSION_CLOSE_US);
        }
        clientListener.shutDown(aliveUs, () -> awaitSessions(whenDone));
    }

    private void awaitSessions(Runnable whenDone) {
        if (sessions == null || sessions.size() == 0) {
            whenDone.run();
        } else {
            eventLoop.schedule(SESSION_CHECK_INTERVAL_US, () -> awaitSessions(whenDone));
        }
    }

    private void logCounters() {
        LOG.log(
                Level.INFO,
                counters + "; open requests " + pipeline.inFlight().size() + ", clients " + clientListener.size()
                        + ", endpoints "
                        + pipeline.endpointPool() + endpointListState());
        eventLoop.schedule(COUNTERS_INTERVAL_US, this::logCounters);
    }

    /** The state of the endpoint list where only a part of it is in scope, or nothing. */
    private String endpointListState() {
        DiscoveryClient.ListStatus list = pipeline.discovery().state();
        if (!list.usesSubset()) {
            return "";
        }
        return "; " + list + ", last change " + (eventLoop.nowUs() - list.changedUs()) / US_PER_S + " s ago";
    }
}
