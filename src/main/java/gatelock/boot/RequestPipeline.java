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
import gatelock.pipeline.EndpointResolver;
import gatelock.pipeline.OutcomeRecorder;
import gatelock.pipeline.RequestAdmitter;
import gatelock.pipeline.ResponseWriter;
import gatelock.release.ReleaseControllerClient;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequests;
import gatelock.websocket.WebSocketUpgrader;
import java.io.IOException;
import java.util.SplittableRandom;

/** The stages of a request, put together around one decision engine. */
final class RequestPipeline {
    private static final long SESSION_CHECK_INTERVAL_US = 50_000;
    /** How long a connection to an endpoint rests after a response, in microseconds, before it is used again. */
    private static final long ENDPOINT_REST_US = 2_000;

    private static final long PLATFORM_CONNECT_TIMEOUT_US = 1_000_000;
    private static final long PLATFORM_IDLE_TIMEOUT_US = 4_000_000;
    private static final int PLATFORM_MAX_CONNECTIONS = 8;
    /** Added to the relay's seed, so that discovery's random draws are not those of another part. */
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
    private ReleaseControllerClient releaseController;
    private DiscoveryClient discovery;

    /**
     * Puts the stages together; nothing is sent or followed yet.
     *
     * @param admission what the version in force means; null: there never is one
     * @param sessions null: none are opened
     * @param membership which endpoints are used of those that are listed; null: all
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
        // An idle connection is closed well before the endpoint would, so that no request crosses its end.
        endpointPool = new ConnectionPool(
                eventLoop,
                counters,
                config.connectTimeoutUs(),
                config.settings().idleConnectionUs(),
                ENDPOINT_REST_US,
                config.maxSockets() * 2 / 5);
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        OutcomeRecorder outcomes = new OutcomeRecorder(eventLoop, inFlight, counters, responseWriter);
        attemptSender = new AttemptSender(eventLoop, endpointPool, outcomes);
        actions = new ActionExecutor(eventLoop, inFlight);
        engine = new ReleaseGate(config.settings(), actions);
        actions.bind(engine, new EndpointResolver(addresses, attemptSender), responseWriter, outcomes);
        admitter = new RequestAdmitter(
                eventLoop,
                inFlight,
                counters,
                outcomes,
                responseWriter,
                engine,
                admission,
                config.settings().retryAfterHonored() ? config.settings().maxRetryAfterUs() : 0);
        RequestReader.RequestNames names = new RequestReader.RequestNames(
                config.indexesByName("lanes"),
                config.indexesByName("orgs"),
                config.settings().routes(),
                config.deadlinesUs());
        requestReader = new RequestReader(counters, names, eventLoop, admitter, clientListener, admission);
        if (sessions != null) {
            requestReader.setSessionUpgrade(new WebSocketUpgrader(eventLoop, counters, outcomes, engine, sessions));
        }
    }

    /**
     * Begins with the endpoints and the release that the configuration holds, and follows discovery and the release
     * controller from there.
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
        DecisionEngine informed = sessions == null ? engine : new SessionAwareEngine(engine, sessions);
        discovery.start(informed, admission, config.knownEndpoints());
        releaseController.start(informed, config.knownRelease());
        if (sessions != null) {
            runDueSessions();
        }
    }

    private DiscoveryClient createDiscovery(ConnectionPool platformPool) {
        DiscoveryClient.SubsetOptions subset = membership == null
                ? null
                : new DiscoveryClient.SubsetOptions(
                        new EndpointSubset(membership.terms()), membership.service(), membership.maxListBytes());
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

    /** Migrates or closes the sessions that are due. */
    private void runDueSessions() {
        sessions.closeDue(eventLoop.nowUs());
        eventLoop.schedule(SESSION_CHECK_INTERVAL_US, this::runDueSessions);
    }

    /** Forwards requests from now on, first those that came early; returns how many these are. */
    int startForwarding() {
        return admitter.releaseQueued();
    }

    /** Follows discovery and the release controller at the addresses of another configuration from now on. */
    void setAddressesFrom(RelayConfig other) {
        discovery.changeAddress(other.discovery());
        releaseController.changeAddress(other.releaseController());
    }

    /** Ends a pipeline that was never started: its timers and its connections to endpoints. */
    void stopWarmUp() {
        actions.stop();
        endpointPool.shutdown();
    }

    /** Reads requests from clients: the pipeline's entry. */
    RequestReader requestReader() {
        return requestReader;
    }

    /** Follows the endpoint list, once the pipeline was started. */
    DiscoveryClient discovery() {
        return discovery;
    }

    /** The requests that are in flight. */
    InFlightRequests inFlight() {
        return inFlight;
    }

    /** Connections to endpoints. */
    ConnectionPool endpointPool() {
        return endpointPool;
    }

    /** Where endpoints are reached. */
    EndpointAddresses addresses() {
        return addresses;
    }

    /** Decides on requests and builds. */
    DecisionEngine engine() {
        return engine;
    }
}
