package gatelock.http;

import gatelock.api.RoutePolicy;
import gatelock.config.Admission;
import gatelock.config.RequestAttributes;
import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.pipeline.RequestAdmitter;
import gatelock.pipeline.RequestProfile;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.Cookie;
import io.undertow.util.HeaderMap;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * First stage: a client's request is matched to its route, validated and read completely, and the fields that matter to
 * the decision engine are taken out.
 */
public final class RequestReader implements HttpHandler {
    private static final byte[] NO_BODY = {};

    /**
     * The names that requests may contain, with the indexes that the deployment's settings give them.
     *
     * @param routeIndexes the index of each route, by the first segment of the path
     * @param tenantIndexes the index of each tenant, by the customer header
     * @param routePolicies the policies of the routes, by index
     * @param routeTimeoutsUs the timeouts of the routes in microseconds, by index
     */
    public record RequestNames(
            Map<String, Integer> routeIndexes,
            Map<String, Integer> tenantIndexes,
            List<RoutePolicy> routePolicies,
            List<Long> routeTimeoutsUs) {}

    /** Opens sessions of another protocol on requests that ask for it. */
    public interface SessionUpgrade {
        /**
         * Whether a request asks for a session; its route and headers have been validated.
         *
         * @param exchange the request
         * @return whether it does
         */
        boolean isRequested(HttpServerExchange exchange);

        /**
         * Validates a request for a session, which is a valid request otherwise.
         *
         * @param exchange the request
         * @return 0, or the status with which to reject it; headers for that are set on the exchange already
         */
        int rejectionStatus(HttpServerExchange exchange);

        /**
         * Has the attempts of a request open a session.
         *
         * @param exchange the client's side
         * @param request the request
         * @param terms the policy for sessions of its route
         * @param route the index of its route
         * @return takes over the client's connection once an endpoint has opened the session
         */
        Consumer<HttpServerExchange> prepare(
                HttpServerExchange exchange, InFlightRequest request, SessionPolicy terms, int route);
    }

    private final Counters counters;
    private final RequestNames names;
    private final EventLoop eventLoop;
    private final RequestAdmitter admitter;
    private final ClientListener clientListener;
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
     * @param clientListener the client connections
     * @param admission the configuration in force; null if the relay has none
     */
    public RequestReader(
            Counters counters,
            RequestNames names,
            EventLoop eventLoop,
            RequestAdmitter admitter,
            ClientListener clientListener,
            Admission admission) {
        this.counters = counters;
        this.names = names;
        this.eventLoop = eventLoop;
        this.admitter = admitter;
        this.clientListener = clientListener;
        this.admission = admission;
        this.validator = new RequestValidator(names);
    }

    /** Has sessions opened by this from now on; without it, requests for sessions are ordinary requests. */
    public void setSessionUpgrade(SessionUpgrade upgrade) {
        this.upgrade = upgrade;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Admission.MatchedRoute way = null;
        int rejection = RequestValidator.VALID;
        if (admission != null && admission.activeConfig() != null) {
            RequestAttributes attributes = attributes(exchange);
            way = admission.matchRoute(attributes);
            rejection = admission.rejectionStatus(attributes, way);
        }
        long length = exchange.getRequestContentLength();
        Integer route = way != null ? Integer.valueOf(way.classIndex()) : routeOfPath(exchange.getRequestURI());
        if (rejection == RequestValidator.VALID) {
            rejection = validator.validate(exchange, route, length);
        }
        if (rejection == RequestValidator.VALID && opensSession(exchange, way)) {
            rejection = upgrade.rejectionStatus(exchange);
        }
        if (rejection != RequestValidator.VALID) {
            reject(exchange, rejection);
        } else if (length == 0 || exchange.isRequestComplete()) {
            accept(exchange, way, route, NO_BODY);
        } else {
            readBody(exchange, way, route, (int) length);
        }
    }

    /** What the configuration matches requests by; the path as it came, since it is forwarded as it came. */
    private static RequestAttributes attributes(HttpServerExchange exchange) {
        return new RequestAttributes(
                exchange.getRequestMethod().toString(),
                RequestHeaders.host(exchange),
                exchange.getRequestURI(),
                exchange.getRequestHeaders()::getFirst);
    }

    /** The index of the route that the first segment of a path names, or null. */
    private Integer routeOfPath(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        int slash = path.indexOf('/', 1);
        return names.routeIndexes().get(path.substring(1, slash < 0 ? path.length() : slash));
    }

    private boolean opensSession(HttpServerExchange exchange, Admission.MatchedRoute way) {
        return upgrade != null && way != null && way.sessionPolicy() != null && upgrade.isRequested(exchange);
    }

    private void readBody(HttpServerExchange exchange, Admission.MatchedRoute way, int route, int length) {
        BodyReader reader = new BodyReader(length, new BodyReader.Listener() {
            @Override
            public void complete(byte[] body) {
                accept(exchange, way, route, body);
            }

            @Override
            public void tooLong() {
                reject(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE);
            }

            @Override
            public void brokenOff() {
                // The request was never complete, so nothing is owed.
                counters.increment("not taken, broken off");
                clientListener.clientLeft(exchange);
            }
        });
        reader.handleEvent(exchange.getRequestChannel());
    }

    /** Answers a request that is not accepted, whether or not it has been read completely. */
    private void reject(HttpServerExchange exchange, int status) {
        counters.increment("not taken " + status);
        exchange.setStatusCode(status);
        if (exchange.isRequestComplete()) {
            clientListener.responseStarts(exchange);
            exchange.endExchange();
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> clientListener.rejectUnread(exchange));
        }
    }

    private void accept(HttpServerExchange exchange, Admission.MatchedRoute way, int route, byte[] body) {
        String id = exchange.getRequestHeaders().getFirst(RequestHeaders.TRACE_ID);
        if (admitter.isInFlight(id)) {
            reject(exchange, StatusCodes.BAD_REQUEST);
            return;
        }
        clientListener.requestCompleted(exchange);
        HttpResponseSink responseSink = new HttpResponseSink(exchange, clientListener, admitter);
        long deadlineUs = deadlineUs(exchange, route);
        byte[] head = ForwardedHead.of(exchange, body.length);
        InFlightRequest request = new InFlightRequest(id, head, body, deadlineUs, responseSink);
        responseSink.bind(request);
        if (opensSession(exchange, way)) {
            responseSink.opensSession(upgrade.prepare(exchange, request, way.sessionPolicy(), route));
        }
        RequestProfile profile = profile(exchange, route);
        // Undertow ends an exchange whose handler returns without having dispatched it.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            admitter.admit(request, way, profile);
            responseSink.watchForClose();
        });
    }

    /** Until when the response must be given: as long as the client waits, and not beyond the end of the relay. */
    private long deadlineUs(HttpServerExchange exchange, int route) {
        String expires = exchange.getRequestHeaders().getFirst(RequestHeaders.EXPIRES_IN_MS);
        long routeTimeoutUs = names.routeTimeoutsUs().get(route);
        long timeoutUs = expires == null ? routeTimeoutUs : RequestHeaders.expiresInMs(expires, routeTimeoutUs) * 1000;
        return Math.min(eventLoop.nowUs() + timeoutUs, clientListener.responseDeadlineUs());
    }

    private RequestProfile profile(HttpServerExchange exchange, int route) {
        HeaderMap headers = exchange.getRequestHeaders();
        Integer known = names.tenantIndexes().get(headers.getFirst(RequestHeaders.CUSTOMER));
        int tenant = known == null ? names.tenantIndexes().size() : known;
        Cookie cookie = exchange.getRequestCookie(RequestHeaders.KEY_COOKIE);
        long key = RequestHeaders.key(cookie == null ? null : cookie.getValue());
        return new RequestProfile(
                route, tenant, key, RequestHeaders.costUs(headers.getFirst(RequestHeaders.SIZE_HINT)));
    }
}
