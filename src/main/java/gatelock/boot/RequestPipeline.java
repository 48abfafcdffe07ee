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
import gatelock.session.Sessions;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequests;
import gatelock.websocket.WebSocketUpgrader;
import java.io.IOException;
import java.util.SplittableRandom;

/** The stages of a request put together around one set of decisions. */
final class RequestPipeline {
    private static final long SESSIONS_LOOK_US = 50_000;

    final EndpointAddresses addresses = new EndpointAddresses();
    final InFlightRequests open;
    final ConnectionPool endpoints;
    final ActionExecutor orders;
    final DecisionEngine gate;
    final RequestReader takeIn;
    private final RequestAdmitter admit;
    private final EventLoop turn;
    private final RelayConfig told;
    private final Counters counters;
    private final Admission admission;
    private final Sessions sessions;
    private final OperatorConfig.Membership membership;
    private final AttemptSender sendOff;
    private ReleaseControllerClient controller;
    private DiscoveryClient discovery;

    /**
     * @param admission what the plan in force means; null: there never is one
     * @param sessions null: none are opened
     * @param membership what endpoints are used of those that are listed; null: all
     */
    RequestPipeline(
            RelayConfig told,
            EventLoop turn,
            Counters counters,
            ClientListener front,
            Admission admission,
            Sessions sessions,
            OperatorConfig.Membership membership) {
        this.told = told;
        this.membership = membership;
        this.admission = admission;
        this.sessions = sessions;
        this.turn = turn;
        this.counters = counters;
        open = new InFlightRequests(counters);
        // An idle connection is closed well before the endpoint would, so that no request crosses its end.
        endpoints = new ConnectionPool(
                turn, counters, told.openWithinUs(), told.charter().keptUs(), 2_000, told.sockets() * 2 / 5);
        ResponseWriter relayBack = new ResponseWriter(turn, open, counters);
        OutcomeRecorder book = new OutcomeRecorder(turn, open, counters, relayBack);
        sendOff = new AttemptSender(turn, endpoints, book);
        EndpointResolver routeOut = new EndpointResolver(addresses, sendOff);
        orders = new ActionExecutor(turn, open);
        gate = new ReleaseGate(told.charter(), orders);
        orders.bind(gate, routeOut, relayBack, book);
        admit = new RequestAdmitter(
                turn,
                open,
                counters,
                book,
                relayBack,
                gate,
                admission,
                told.charter().pausesHeard() ? told.charter().longestPauseUs() : 0);
        takeIn = new RequestReader(
                counters,
                new RequestReader.Names(
                        told.numbered("lanes"),
                        told.numbered("orgs"),
                        told.charter().routes(),
                        told.deadlinesUs()),
                turn,
                admit,
                front,
                admission);
        if (sessions != null) {
            takeIn.opensBy(new WebSocketUpgrader(turn, counters, book, gate, sessions));
        }
    }

    /** Begins from what the configuration holds, and follows discovery and the release controller from there. */
    void start() throws IOException {
        ConnectionPool platform =
                new ConnectionPool(turn, counters, 1_000_000, 4_000_000, 0, 8, DiscoveryClient.MOST_LIST);
        controller = new ReleaseControllerClient(
                turn,
                counters,
                platform,
                told.controller(),
                told.charter().rollout().voteWaitUs());
        discovery = new DiscoveryClient(
                turn,
                counters,
                platform,
                told.discovery(),
                addresses,
                endpoints,
                told.plain("zones"),
                told.plain("flavors"),
                told.charter().mustAskForList(),
                new SplittableRandom(told.charter().seed() + 1),
                membership == null
                        ? null
                        : new DiscoveryClient.Membership(
                                new EndpointSubset(membership.terms()),
                                membership.service(),
                                membership.mostListBytes()));
        if (membership != null) {
            sendOff.whenEnded(discovery::ended);
        }
        orders.bind(controller, discovery);
        gate.start(turn.nowUs());
        DecisionEngine hears = sessions == null ? gate : new SessionAwareEngine(gate, sessions);
        discovery.start(hears, admission, told.known());
        controller.start(hears, told.news());
        if (sessions != null) {
            look();
        }
    }

    /** Lets requests go on to endpoints, those that came early first; tells how many these are. */
    int open() {
        return admit.open();
    }

    /** Does this once a list has come from discovery, or it has been silent for so long. */
    void whenListed(long silentUs, Runnable then) {
        discovery.whenListed(silentUs, then);
    }

    /** How the list of endpoints stands. */
    DiscoveryClient.State listState() {
        return discovery.state();
    }

    /** Does this each time discovery has failed. */
    void whenFailed(Runnable then) {
        discovery.whenFailed(then);
    }

    /** Sessions whose turn has come leave. */
    private void look() {
        sessions.due(turn.nowUs());
        turn.in(SESSIONS_LOOK_US, this::look);
    }

    /** Follows discovery and the release controller at other addresses from now on. */
    void move(RelayConfig to) {
        discovery.move(to.discovery());
        controller.move(to.controller());
    }
}
