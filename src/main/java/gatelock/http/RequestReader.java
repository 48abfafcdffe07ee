package gatelock.http;

import gatelock.api.RoutePolicy;
import gatelock.config.Admission;
import gatelock.config.RequestAttributes;
import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.pipeline.RequestAdmitter;
import gatelock.pipeline.RequestFailureHandler;
import gatelock.pipeline.RequestProfile;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * First stage: matches a client request to its route, validates it, reads its body completely and extracts the fields
 * that the decision engine uses.
 */
public final class RequestReader implements HttpHandler {
    private static final byte[] NO_BODY = {};

    /**
     * The routes and tenants that requests may name, with the indexes that the settings of the deployment assign to
     * them.
     *
     * @param routeIndexes the index of each route, by the first segment of the path
     * @param tenantIndexes the index of each tenant, by the value of the customer header
     * @param routePolicies the policies of the routes, by index
     * @param routeTimeoutsUs the timeouts of the routes in microseconds, by index
     */
    public record RequestNames(
            Map<String, Integer> routeIndexes,
            Map<String, Integer> tenantIndexes,
            List<RoutePolicy> routePolicies,
            List<Long> routeTimeoutsUs) {}

    /** Opens sessions of another protocol for requests that ask for one. */
    public interface SessionUpgrade {
        /**
         * Returns whether a request asks for a session. Its route and headers have already been validated.
         *
         * @param exchange the request
         */
        boolean isRequested(HttpServerExchange exchange);

        /**
         * Validates the parts of a request that are specific to sessions. The request is valid otherwise.
         *
         * @param exchange the request
         * @return 0, or the status with which to reject the request; the headers of that response are already set on
         *     the exchange
         */
        int rejectionStatus(HttpServerExchange exchange);

        /**
         * Prepares a request so that its attempts open a session.
         *
         * @param exchange the exchange with the client
         * @param request the request
         * @param sessionPolicy the session policy of its route
         * @param route the index of its route
         * @return a function that takes over the client connection once an endpoint has opened the session
         */
        Consumer<HttpServerExchange> prepare(
                HttpServerExchange exchange, InFlightRequest request, SessionPolicy sessionPolicy, int route);
    }

    private final Counters counters;
    private final RequestNames names;
    private final EventLoop eventLoop;
    private final RequestAdmitter admitter;
    private final ClientListener clientListener;
    private final ClientExchanges exchanges;
    private final RequestFailureHandler failures;
    private final Admission admission;
    private final RequestValidator validator;
    private SessionUpgrade upgrade;

    /**
     * Creates the stage.
     *
     * @param counters counts rejected requests by status
     * @param names the names that requests may contain
     * @param eventLoop the I/O thread
     * @param admitter the next stage
     * @param clientListener manages the client connections
     * @param failures ends accepted requests on which this stage fails
     * @param admission the active configuration version, or null if the relay has none
     */
    public RequestReader(
            Counters counters,
            RequestNames names,
            EventLoop eventLoop,
            RequestAdmitter admitter,
            ClientListener clientListener,
            RequestFailureHandler failures,
            Admission admission) {
        this.counters = counters;
        this.names = names;
        this.eventLoop = eventLoop;
        this.admitter = admitter;
        this.clientListener = clientListener;
        this.exchanges = clientListener.exchanges();
        this.failures = failures;
        this.admission = admission;
        this.validator = new RequestValidator(names);
    }

    /** Sets how sessions are opened from now on. Without it, requests for sessions are handled as ordinary requests. */
    public void setSessionUpgrade(SessionUpgrade upgrade) {
        this.upgrade = upgrade;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Admission.MatchedRoute matchedRoute = null;
        int rejection = RequestValidator.VALID;
        if (admission != null && admission.activeConfig() != null) {
            RequestAttributes attributes = attributes(exchange);
            matchedRoute = admission.matchRoute(attributes);
            rejection = admission.rejectionStatus(attributes, matchedRoute);
        }
        long length = exchange.getRequestContentLength();
        Integer route = matchedRoute != null
                ? Integer.valueOf(matchedRoute.classIndex())
                : routeIndexOfPath(exchange.getRequestURI());
        if (rejection == RequestValidator.VALID) {
            rejection = validator.validate(exchange, route, length);
        }
        if (rejection == RequestValidator.VALID && isSessionRequest(exchange, matchedRoute)) {
            rejection = upgrade.rejectionStatus(exchange);
        }
        if (rejection != RequestValidator.VALID) {
            reject(exchange, rejection);
        } else if (length == 0 || exchange.isRequestComplete()) {
            accept(exchange, matchedRoute, route, NO_BODY);
        } else {
            readBody(exchange, matchedRoute, route, (int) length);
        }
    }

    /**
     * Returns the attributes by which the configuration matches requests. The path is not normalized, because it is
     * forwarded as received.
     */
    private static RequestAttributes attributes(HttpServerExchange exchange) {
        return new RequestAttributes(
                exchange.getRequestMethod().toString(),
                RequestHeaders.host(exchange),
                exchange.getRequestURI(),
                exchange.getRequestHeaders()::getFirst);
    }

    /** Returns the index of the route that the first segment of the path names, or null if it names none. */
    private Integer routeIndexOfPath(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        int slash = path.indexOf('/', 1);
        return names.routeIndexes().get(path.substring(1, slash < 0 ? path.length() : slash));
    }

    private boolean isSessionRequest(HttpServerExchange exchange, Admission.MatchedRoute matchedRoute) {
        return upgrade != null
                && matchedRoute != null
                && matchedRoute.sessionPolicy() != null
                && upgrade.isRequested(exchange);
    }

    private void readBody(HttpServerExchange exchange, Admission.MatchedRoute matchedRoute, int route, int length) {
        BodyReader reader = new BodyReader(length, exchanges.memoryOf(exchange), new BodyReader.Listener() {
            @Override
            public void onComplete(byte[] body) {
                accept(exchange, matchedRoute, route, body);
            }

            @Override
            public void onTooLong() {
                reject(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            }

            @Override
            public void onRefused() {
                reject(exchange, StatusCodes.SERVICE_UNAVAILABLE);
            }

            @Override
            public void onAborted() {
                // The request was never complete, so no response is owed.
                counters.increment("not taken, broken off");
                exchanges.clientDisconnected(exchange);
            }

            @Override
            public void onFailed(Throwable failure) {
                exchanges.endAfterFailure(exchange, failure);
            }
        });
        reader.handleEvent(exchange.getRequestChannel());
    }

    /** Responds to a request that is not accepted, whether or not it has been read completely. */
    private void reject(HttpServerExchange exchange, int status) {
        counters.increment("not taken " + status);
        exchanges.reject(exchange, status);
    }

    private void accept(HttpServerExchange exchange, Admission.MatchedRoute matchedRoute, int route, byte[] body) {
        String id = exchange.getRequestHeaders().getFirst(RequestHeaders.TRACE_ID);
        if (exchanges.presenceOf(exchange) != ClientPresence.CONNECTED) {
            counters.increment("not taken, client left");
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchanges.disconnect(exchange));
            return;
        }
        boolean repeatable = names.routePolicies().get(route).retrySafety() != RoutePolicy.RetrySafety.NON_RETRIABLE;
        if (admitter.isDuplicate(id, repeatable)) {
            reject(exchange, StatusCodes.BAD_REQUEST);
            return;
        }
        if (!exchanges.memoryOf(exchange).holdRequest(body.length)) {
            reject(exchange, StatusCodes.SERVICE_UNAVAILABLE);
            return;
        }
        HttpResponseSink responseSink = new HttpResponseSink(exchange, exchanges, admitter);
        long deadlineUs = deadlineUs(exchange, route);
        boolean opensSession = isSessionRequest(exchange, matchedRoute);
        byte[] head = ForwardedRequestHead.of(
                exchange.getRequestMethod(), exchanges.headOf(exchange), body.length, opensSession);
        InFlightRequest request = new InFlightRequest(id, head, body, deadlineUs, responseSink);
        responseSink.bind(request);
        if (opensSession) {
            responseSink.setSessionHandover(upgrade.prepare(exchange, request, matchedRoute.sessionPolicy(), route));
        }
        RequestProfile profile = profile(exchange, route);
        // From here on each exception has to be attributed to the request, so that it is answered exactly once.
        exchanges.requestCompleted(exchange);
        // Undertow ends an exchange whose handler returns without dispatching it.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            admitter.admit(request, matchedRoute, profile);
            failures.run(request, responseSink::watchForClose);
        });
    }

    /**
     * Returns the time by which the response must be sent: as long as the client waits, but not after the relay has
     * shut down.
     */
    private long deadlineUs(HttpServerExchange exchange, int route) {
        String expires = exchange.getRequestHeaders().getFirst(RequestHeaders.EXPIRES_IN_MS);
        long routeTimeoutUs = names.routeTimeoutsUs().get(route);
        long timeoutUs = expires == null ? routeTimeoutUs : RequestHeaders.expiresInMs(expires, routeTimeoutUs) * 1000;
        return Math.min(eventLoop.nowUs() + timeoutUs, clientListener.responseDeadlineUs());
    }

    private RequestProfile profile(HttpServerExchange exchange, int route) {
        HeaderMap headers = exchange.getRequestHeaders();
        Integer tenantIndex = names.tenantIndexes().get(headers.getFirst(RequestHeaders.CUSTOMER));
        int tenant = tenantIndex == null ? names.tenantIndexes().size() : tenantIndex;
        long key = RequestHeaders.key(RequestHeaders.keyCookie(exchange));
        return new RequestProfile(
                route, tenant, key, RequestHeaders.costUs(headers.getFirst(RequestHeaders.SIZE_HINT)));
    }
}
