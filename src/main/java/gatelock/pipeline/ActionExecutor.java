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
import java.util.function.Consumer;

/**
 * Executes the actions that the decision engine requests. Each action runs after the engine call that requested it has
 * returned, in order, so that no stage is entered while the engine is running.
 */
public final class ActionExecutor implements DecisionActions {
    private static final System.Logger LOG = System.getLogger("gatelock.decision");

    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final RequestFailureHandler failures;
    private EndpointResolver endpointResolver;
    private ResponseWriter responseWriter;
    private OutcomeRecorder outcomeRecorder;
    private ReleaseControllerClient controller;
    private DiscoveryClient discovery;
    private DecisionEngine engine;
    private boolean stopped;

    /**
     * Creates an executor, which must be bound to the stages before the first action.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the requests in flight
     * @param failures ends the requests on which an action fails
     */
    public ActionExecutor(EventLoop eventLoop, InFlightRequests inFlight, RequestFailureHandler failures) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.failures = failures;
    }

    /**
     * Sets the engine and the stages. They cannot be passed to the constructor, as the constructor of the engine needs
     * the executor.
     *
     * @param engine receives the timers
     * @param endpointResolver sends attempts
     * @param responseWriter sends final responses
     * @param outcomeRecorder removes settled requests
     */
    public void bind(
            DecisionEngine engine,
            EndpointResolver endpointResolver,
            ResponseWriter responseWriter,
            OutcomeRecorder outcomeRecorder) {
        this.engine = engine;
        this.endpointResolver = endpointResolver;
        this.responseWriter = responseWriter;
        this.outcomeRecorder = outcomeRecorder;
    }

    /**
     * Sets the clients of the platform services. Without them, votes and subscriptions have no effect.
     *
     * @param controller casts votes
     * @param discovery polls the endpoint list
     */
    public void bind(ReleaseControllerClient controller, DiscoveryClient discovery) {
        this.controller = controller;
        this.discovery = discovery;
    }

    /** Cancels all timers, so that none of them calls the engine any more. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutUs) {
        execute(id, request -> endpointResolver.send(request, endpoint, timeoutUs));
    }

    @Override
    public void shedRequest(String id, long retryAfterUs) {
        execute(id, request -> {
            responseWriter.reject(request, retryAfterUs);
            outcomeRecorder.removeIfSettled(request);
        });
    }

    @Override
    public void failRequest(String id) {
        execute(id, request -> {
            responseWriter.fail(request);
            outcomeRecorder.removeIfSettled(request);
        });
    }

    @Override
    public void cancelAttempt(String id, int attemptNo) {
        execute(id, request -> request.cancelAttempt(attemptNo));
    }

    /** Queues an action on a request. A request that failed unexpectedly is not in flight any more. */
    private void execute(String id, Consumer<InFlightRequest> action) {
        InFlightRequest request = inFlight.get(id);
        if (request != null) {
            eventLoop.execute(() -> failures.run(request, () -> action.accept(request)));
        }
    }

    @Override
    public void castVote(int build, int stage, Verdict verdict) {
        if (controller != null) {
            eventLoop.execute(() -> controller.castVote(build, stage, verdict));
        }
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        eventLoop.schedule(delayUs, () -> {
            if (!stopped) {
                engine.timerFired(eventLoop.nowUs(), token);
            }
        });
    }

    @Override
    public void subscribeToEndpoints() {
        if (discovery != null) {
            eventLoop.execute(discovery::startPolling);
        }
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, line);
    }
}
