package gatelock.boot;

import gatelock.discovery.DiscoveryClient;
import gatelock.http.ClientListener;
import gatelock.net.EventLoop;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import gatelock.state.DescriptorBudget;
import gatelock.state.MemoryBudget;
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

/** One running relay: assembles the parts on a single I/O thread, starts them, and shuts them down on SIGTERM. */
final class RelayService {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /**
     * After SIGTERM the platform lets a relay run for the longest deadline of its routes, but at most for this time,
     * plus {@link #SHUTDOWN_MARGIN_US}, in which the load balancer and the clients notice the shutdown.
     */
    private static final long MAX_SHUTDOWN_DEADLINE_US = 3_000_000;

    private static final long SHUTDOWN_MARGIN_US = 700_000;
    /**
     * How long before the end of the process the last sessions are asked to close, so that clients can confirm the
     * close.
     */
    private static final long SESSION_CLOSE_MARGIN_US = 1_400_000;

    private static final long SESSION_CHECK_INTERVAL_US = 20_000;
    /**
     * Guards against serving with the endpoint list from before a restart. The new process is expected to know what
     * discovery has sent since then, and requests that are forwarded by the old list go to endpoints that no longer
     * exist. Discovery is considered down, and the initial list is used, only if a poll has failed this long after the
     * first one was sent; each poll has its full timeout. If discovery is down, every start is delayed by this time,
     * which is well within the time that a start may take.
     */
    private static final long MAX_DISCOVERY_SILENCE_US = 2_000_000;

    private static final long COUNTERS_INTERVAL_US = 60_000_000;
    private static final int US_PER_S = 1_000_000;
    private static final long STACK_BYTES = 256 * 1024;
    private static final int EXIT_UNUSABLE = 2;
    /** Added to the relay's seed so that sessions draw other random numbers than the rest of the relay. */
    private static final int SESSIONS_SEED_OFFSET = 3;

    private final StartMode mode;
    private final EventLoop eventLoop;
    private final Counters counters = new Counters();
    private final OperatorConfig operator;
    private final ConfigReloader reloader;
    private RelayConfig config;
    private MemoryBudget memory;
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
     * @param file the file that {@code config} was read from, which is read again on SIGHUP
     * @param config the relay's configuration
     * @param operatorFile the operator's file, or null if there is none
     * @param operator the content of the operator's file, or null to disable all features that it configures
     * @param mode how the relay starts
     * @param sighup triggers a reload
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
        // Queued before the shutdown hook is registered, so that the start always precedes the shutdown.
        eventLoop.execute(service::run);
        Runtime.getRuntime().addShutdownHook(new Thread(service::shutDownAndWait, "leave"));
        sighup.setAction(service.reloader::reloadOnSighup);
    }

    private void run() {
        try {
            long requestMemory = MemoryBudget.shareOfHeap(Runtime.getRuntime().maxMemory());
            memory = new MemoryBudget(counters, requestMemory);
            clientListener = new ClientListener(eventLoop, counters, new DescriptorBudget(config.maxSockets()), memory);
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
        serveAfterFirstList(UnaryOperator.identity());
    }

    private void startWarm() throws IOException {
        InetSocketAddress address = clientListener.listen(config.listen());
        // Polls for the endpoint list and the release state start now, so that both are known when the warm-up ends.
        startPipeline();
        HttpHandler reader = pipeline.requestReader();
        new StartupWarmUp(config, address, eventLoop, clientListener, reader, warmUp -> {
                    clientListener.setRequestHandler(warmUp.wrapToCloseOwnRequests(reader), false);
                    serveAfterFirstList(warmUp::wrapToCloseOwnRequests);
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

    /** Assembles the pipeline for client requests and starts polling discovery and the release controller. */
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
            controlPlane.setEndpointListStatus(discovery::status);
        }
        discovery.onPollFailure(() -> reloader.reloadOnDiscoveryFailure(() -> config.discovery()));
    }

    private SessionRegistry createSessions(OperatorConfig.Sessions options) {
        int max = config.maxSockets() / 10;
        if (options.maxSessions() > 0) {
            max = Math.min(options.maxSessions(), config.maxSockets() / 5);
        }
        return new SessionRegistry(
                max,
                options.opensPerEndpointPerS(),
                options.drainTimeoutUs(),
                new SplittableRandom(config.settings().seed() + SESSIONS_SEED_OFFSET));
    }

    private void serveAfterFirstList(UnaryOperator<HttpHandler> wrapReader) {
        pipeline.discovery().onFirstList(MAX_DISCOVERY_SILENCE_US, () -> serve(wrapReader));
    }

    private void serve(UnaryOperator<HttpHandler> wrapReader) {
        HttpHandler reader = wrapReader.apply(pipeline.requestReader());
        clientListener.setRequestHandler(reader, controlPlane == null);
        int queuedRequests = pipeline.startForwarding();
        if (queuedRequests > 0) {
            LOG.log(Level.INFO, "queued until ready: " + queuedRequests + " requests");
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
                        + (config.hasSameSettings(reloaded)
                                ? ""
                                : "; changes to name, listen, limits and settings take effect at the next restart"));
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
        if (!operator.hasSameMembership(reloadedOperator)) {
            LOG.log(Level.WARNING, "changes to membership take effect at the next restart");
        }
    }

    /** Runs on the thread of the shutdown hook, and blocks until the graceful shutdown is complete. */
    private void shutDownAndWait() {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> shutDown(done::countDown));
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.log(Level.INFO, "shutdown complete: " + counters);
    }

    private void shutDown(Runnable onComplete) {
        if (controlPlane != null) {
            controlPlane.stop();
        }
        long longestDeadlineUs =
                config.deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
        long remainingUs = Math.min(longestDeadlineUs, MAX_SHUTDOWN_DEADLINE_US) + SHUTDOWN_MARGIN_US;
        if (sessions != null) {
            sessions.drainAll(eventLoop.nowUs() + remainingUs - SESSION_CLOSE_MARGIN_US);
        }
        clientListener.shutDown(remainingUs, () -> awaitSessions(onComplete));
        // No answer or close is owed any more at this time; whatever is left must not keep the process from ending.
        eventLoop.schedule(remainingUs, onComplete);
    }

    private void awaitSessions(Runnable onComplete) {
        if (sessions == null || sessions.isEmpty()) {
            onComplete.run();
        } else {
            eventLoop.schedule(SESSION_CHECK_INTERVAL_US, () -> awaitSessions(onComplete));
        }
    }

    private void logCounters() {
        LOG.log(
                Level.INFO,
                counters + "; requests in flight " + pipeline.inFlight().size() + ", clients " + clientListener.size()
                        + ", endpoints "
                        + pipeline.endpointPool() + "; held for requests " + memory.heldBytes() + " of "
                        + memory.maxBytes() + " bytes" + endpointListState());
        eventLoop.schedule(COUNTERS_INTERVAL_US, this::logCounters);
    }

    /** Returns the state of the endpoint list if this relay uses a subset of it, otherwise an empty text. */
    private String endpointListState() {
        DiscoveryClient.ListStatus list = pipeline.discovery().status();
        if (!list.usesSubset()) {
            return "";
        }
        return "; " + list + ", last change " + (eventLoop.nowUs() - list.changedUs()) / US_PER_S + " s ago";
    }
}
