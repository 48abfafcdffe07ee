package gatelock.pipeline;

import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Verdict;
import gatelock.discovery.DiscoveryClient;
import gatelock.net.EventLoop;
import gatelock.release.ReleaseControllerClient;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import java.lang.System.Logger.Level;

/**
 * What the decisions ask for. All of it is done right after the call that led to it, in order, so that no
 * stage is entered while the decisions are still at work.
 */
public final class ActionExecutor implements DecisionActions {
    private static final System.Logger LOG = System.getLogger("gatelock.decision");

    private final EventLoop turn;
    private final InFlightRequests open;
    private EndpointResolver routeOut;
    private ResponseWriter relayBack;
    private OutcomeRecorder book;
    private ReleaseControllerClient controller;
    private DiscoveryClient discovery;
    private DecisionEngine gate;
    private boolean stopped;

    public ActionExecutor(EventLoop turn, InFlightRequests open) {
        this.turn = turn;
        this.open = open;
    }

    /** Names who carries them out, before the first one is given. */
    public void bind(DecisionEngine gate, EndpointResolver routeOut, ResponseWriter relayBack, OutcomeRecorder book) {
        this.gate = gate;
        this.routeOut = routeOut;
        this.relayBack = relayBack;
        this.book = book;
    }

    /** Names the platform; without one, votes and wishes for the list go nowhere. */
    public void bind(ReleaseControllerClient controller, DiscoveryClient discovery) {
        this.controller = controller;
        this.discovery = discovery;
    }

    /** From now on no timer calls the decisions any more. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        InFlightRequest request = open.get(id);
        turn.soon(() -> routeOut.send(request, endpoint, timeoutUs));
    }

    @Override
    public void shed(String id, long pauseUs) {
        InFlightRequest request = open.get(id);
        turn.soon(() -> {
            relayBack.shed(request, pauseUs);
            book.settle(request);
        });
    }

    @Override
    public void error(String id) {
        InFlightRequest request = open.get(id);
        turn.soon(() -> {
            relayBack.errored(request);
            book.settle(request);
        });
    }

    @Override
    public void cancel(String id, int attemptNo) {
        InFlightRequest request = open.get(id);
        turn.soon(() -> request.callOff(attemptNo).run());
    }

    @Override
    public void vote(int build, int stage, Verdict verdict) {
        if (controller != null) {
            turn.soon(() -> controller.vote(build, stage, verdict));
        }
    }

    @Override
    public void timer(long inUs, long token) {
        turn.in(inUs, () -> {
            if (!stopped) {
                gate.due(turn.nowUs(), token);
            }
        });
    }

    @Override
    public void followList() {
        if (discovery != null) {
            turn.soon(discovery::follow);
        }
    }

    @Override
    public void say(String line) {
        LOG.log(Level.INFO, line);
    }
}
