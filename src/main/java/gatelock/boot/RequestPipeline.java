package gatelock.boot;

import gatelock.api.DecisionEngine;
import gatelock.config.Admission;
import gatelock.decision.ReleaseGate;
import gatelock.discovery.DiscoveryClient;
import gatelock.http.ClientListener;
import gatelock.http.RequestReader;
import gatelock.membership.EndpointSubset;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.pipeline.ActionExecutor;
import gatelock.pipeline.AttemptSender;
import gatelock.pipeline.DeadlineMonitor;
import gatelock.pipeline.EndpointResolver;
import gatelock.pipeline.OutcomeRecorder;
import gatelock.pipeline.RequestAdmitter;
import gatelock.pipeline.RequestFailureHandler;
import gatelock.pipeline.ResponseWriter;
import gatelock.release.ReleaseControllerClient;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import gatelock.state.DescriptorBudget;
import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequests;
import gatelock.websocket.WebSocketUpgrader;
import java.io.IOException;
import java.util.SplittableRandom;

/** The processing stages of requests, assembled around one decision engine. */
final class RequestPipeline {
    private static final long SESSION_CHECK_INTERVAL_US = 50_000;
    /** The minimum time that a connection to an endpoint stays idle after a response before it is reused. */
    private static final long ENDPOINT_REUSE_DELAY_US = 2_000;

    private static final long PLATFORM_CONNECT_TIMEOUT_US = 1_000_000;
    private static final long PLATFORM_IDLE_TIMEOUT_US = 4_000_000;
    private static final int PLATFORM_MAX_CONNECTIONS = 8;
    /** Added to the relay's seed so that discovery draws other random numbers than the rest of the relay. */
    private static final int DISCOVERY_SEED_OFFSET = 1;

    private final EndpointAddresses addresses = new EndpointAddresses();
    private final InFlightRequests inFlight;
    private final ConnectionPool endpointPool;
    private final ActionExecutor actions;
    private final DecisionEngine engine;
    private final RequestReader requestReader;
    private final RequestAdmitter admitter;
    private final EventLoop eventLoop;
    private final RelayConfig config;
    private final Counters counters;
    private final Admission admission;
    private final SessionRegistry sessions;
    private final OperatorConfig.Membership membership;
    private final AttemptSender attemptSender;
    private final DeadlineMonitor deadlineMonitor;
    private ReleaseControllerClient releaseController;
    private DiscoveryClient discovery;

    /**
     * Assembles the stages; nothing is sent or polled yet.
     *
     * @param config the relay's configuration
     * @param clientListener accepts the client connections
     * @param admission the admission rules of the active configuration version, or null if versioned configuration is
     *     disabled
     * @param sessions the WebSocket sessions, or null if they are disabled
     * @param membership the subset of endpoints to use, or null to use all listed endpoints
     */
    RequestPipeline(
            RelayConfig config,
            EventLoop eventLoop,
            Counters counters,
            ClientListener clientListener,
            Admission admission,
            SessionRegistry sessions,
            OperatorConfig.Membership membership) {
        this.config = config;
        this.membership = membership;
        this.admission = admission;
        this.sessions = sessions;
        this.eventLoop = eventLoop;
        this.counters = counters;
        inFlight = new InFlightRequests(counters);
        DescriptorBudget descriptors = new DescriptorBudget(config.maxSockets());
        // Idle connections are closed well before the endpoint closes them, so that no request is sent on a closing
        // connection.
        endpointPool = new ConnectionPool(
                eventLoop,
                counters,
                config.connectTimeoutUs(),
                config.settings().idleConnectionUs(),
                ENDPOINT_REUSE_DELAY_US,
                descriptors.endpointConnections(0));
        clientListener.setSessionCountListener(
                count -> endpointPool.setMaxConnections(descriptors.endpointConnections(count)));
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        OutcomeRecorder outcomes = new OutcomeRecorder(eventLoop, inFlight, counters, responseWriter);
        RequestFailureHandler failures = new RequestFailureHandler(eventLoop, inFlight, counters, responseWriter);
        deadlineMonitor = new DeadlineMonitor(eventLoop, inFlight, failures);
        attemptSender = new AttemptSender(eventLoop, endpointPool, outcomes, failures);
        actions = new ActionExecutor(eventLoop, inFlight, failures);
        engine = new ReleaseGate(config.settings(), actions);
        actions.bind(engine, new EndpointResolver(addresses, attemptSender), responseWriter, outcomes);
        admitter = new RequestAdmitter(
                eventLoop,
                inFlight,
                counters,
                outcomes,
                responseWriter,
                failures,
                engine,
                admission,
                config.settings().retryAfterHonored() ? config.settings().maxRetryAfterUs() : 0);
        RequestReader.RequestNames names = new RequestReader.RequestNames(
                config.indexesByName("lanes"),
                config.indexesByName("orgs"),
                config.settings().routes(),
                config.deadlinesUs());
        requestReader = new RequestReader(counters, names, eventLoop, admitter, clientListener, failures, admission);
        if (sessions != null) {
            requestReader.setSessionUpgrade(
                    new WebSocketUpgrader(eventLoop, counters, attemptSender, engine, sessions));
        }
    }

    /**
     * Starts with the endpoints and the release state from the configuration, and then polls discovery and the release
     * controller.
     */
    void start() throws IOException {
        ConnectionPool platformPool = new ConnectionPool(
                eventLoop,
                counters,
                PLATFORM_CONNECT_TIMEOUT_US,
                PLATFORM_IDLE_TIMEOUT_US,
                0,
                PLATFORM_MAX_CONNECTIONS,
                DiscoveryClient.MAX_LIST_BYTES);
        releaseController = new ReleaseControllerClient(
                eventLoop,
                counters,
                platformPool,
                config.releaseController(),
                config.settings().rollout().voteTimeoutUs());
        discovery = createDiscovery(platformPool);
        if (membership != null) {
            attemptSender.setAttemptListener(discovery::attemptEnded);
        }
        actions.bind(releaseController, discovery);
        engine.start(eventLoop.nowUs());
        deadlineMonitor.start();
        DecisionEngine updatedEngine = sessions == null ? engine : new SessionAwareEngine(engine, sessions);
        discovery.start(updatedEngine, admission, config.initialEndpoints());
        releaseController.start(updatedEngine, config.initialRelease());
        if (sessions != null) {
            eventLoop.scheduleRepeatedly(SESSION_CHECK_INTERVAL_US, () -> sessions.closeDue(eventLoop.nowUs()));
        }
    }

    private DiscoveryClient createDiscovery(ConnectionPool platformPool) {
        DiscoveryClient.SubsetOptions subset = membership == null
                ? null
                : new DiscoveryClient.SubsetOptions(
                        new EndpointSubset(membership.policy()), membership.serviceNames(), membership.maxListBytes());
        return new DiscoveryClient(
                eventLoop,
                counters,
                platformPool,
                config.discovery(),
                addresses,
                endpointPool,
                config.names("zones"),
                config.names("flavors"),
                config.settings().mustSubscribeToEndpoints(),
                new SplittableRandom(config.settings().seed() + DISCOVERY_SEED_OFFSET),
                subset);
    }

    /** Starts forwarding requests, first the queued ones; returns how many were queued. */
    int startForwarding() {
        return admitter.releaseQueued();
    }

    /** Polls discovery and the release controller at the addresses of another configuration from now on. */
    void setAddressesFrom(RelayConfig other) {
        discovery.changeAddress(other.discovery());
        releaseController.changeAddress(other.releaseController());
    }

    /** Stops the timers and closes the endpoint connections of a pipeline on which {@link #start} was never called. */
    void stopWarmUp() {
        actions.stop();
        endpointPool.shutdown();
    }

    /** Returns the first stage, which reads requests from clients. */
    RequestReader requestReader() {
        return requestReader;
    }

    /** Returns the discovery client, or null before {@link #start}. */
    DiscoveryClient discovery() {
        return discovery;
    }

    /** Returns the requests in flight. */
    InFlightRequests inFlight() {
        return inFlight;
    }

    /** Returns the pool of connections to endpoints. */
    ConnectionPool endpointPool() {
        return endpointPool;
    }

    /** Returns the addresses of the endpoints. */
    EndpointAddresses addresses() {
        return addresses;
    }

    /** Returns the decision engine. */
    DecisionEngine engine() {
        return engine;
    }
}
