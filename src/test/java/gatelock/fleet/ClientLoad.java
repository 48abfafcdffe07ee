package gatelock.fleet;

import gatelock.api.RequestConstraints;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.List;

/** The clients of a fleet. Requests arrive at each relay as a Poisson process with a rate of its own. */
final class ClientLoad {
    private static final int KEY_COUNT = 5000;

    /** A route and how long its clients wait for a response. */
    private record Route(RoutePolicy policy, long clientTimeoutUs) {}

    private static final List<Route> ROUTES = List.of(
            route(RoutePolicy.RetrySafety.RETRIABLE, 10, 2, 2, 5),
            route(RoutePolicy.RetrySafety.DEDUPED, 12, 3, 5, 12),
            route(RoutePolicy.RetrySafety.NON_RETRIABLE, 10, 4, 5, 16));

    private static Route route(
            RoutePolicy.RetrySafety retrySafety,
            int dedupWindowS,
            int latencyObjectiveS,
            double priorityWeight,
            int clientTimeoutS) {
        return new Route(
                new RoutePolicy(
                        retrySafety,
                        RoutePolicy.DedupScope.ALL,
                        dedupWindowS * VirtualClock.SECOND_US,
                        latencyObjectiveS * VirtualClock.SECOND_US,
                        priorityWeight),
                clientTimeoutS * VirtualClock.SECOND_US);
    }

    /** The clients of one relay. */
    private static final class RelayClients {
        private final SimulatedRelay relay;
        private double requestsPerS;

        RelayClients(SimulatedRelay relay, double requestsPerS) {
            this.relay = relay;
            this.requestsPerS = requestsPerS;
        }
    }

    private final Simulation simulation;
    private final ServiceCatalog services;
    private final List<RelayClients> clients = new ArrayList<>();
    private long nextRequestId;
    private boolean stopped;

    /** Creates a load without clients; {@link #start} adds them. */
    ClientLoad(Simulation simulation, ServiceCatalog services) {
        this.simulation = simulation;
        this.services = services;
    }

    /** Returns the policies of all routes, by route index. */
    static List<RoutePolicy> routePolicies() {
        return ROUTES.stream().map(Route::policy).toList();
    }

    /** Starts to send requests to a relay at the given rate. */
    void start(SimulatedRelay relay, double requestsPerS) {
        RelayClients client = new RelayClients(relay, requestsPerS);
        clients.add(client);
        scheduleNextRequest(client);
    }

    /** Multiplies the request rate of every relay from now on. */
    void scale(double factor) {
        clients.forEach(client -> client.requestsPerS *= factor);
    }

    /** Stops sending requests. */
    void stop() {
        stopped = true;
    }

    private void scheduleNextRequest(RelayClients client) {
        double intervalS = simulation.nextExponential() / client.requestsPerS;
        simulation.schedule((long) (intervalS * VirtualClock.SECOND_US), () -> {
            if (client.relay.isUp() && !stopped) {
                send(client.relay);
            }
            scheduleNextRequest(client);
        });
    }

    private void send(SimulatedRelay relay) {
        String id = Long.toHexString(nextRequestId++);
        int routeIndex = simulation.random().nextInt(ROUTES.size());
        Route route = ROUTES.get(routeIndex);
        RequestConstraints constraints = services.hasSeveral()
                ? services.constraintsAt(simulation.random().nextDouble())
                : RequestConstraints.NONE;
        double workUs = simulation.parameters().meanWorkUs * simulation.nextExponential();
        long nowUs = simulation.nowUs();
        SimulatedRequest request = new SimulatedRequest(id, routeIndex, workUs, nowUs + route.clientTimeoutUs);
        simulation
                .records()
                .requests
                .add(new FleetRecords.Request(id, relay.number(), route.policy, nowUs, request.deadlineUs()));
        relay.accept(request, simulation.random().nextLong(KEY_COUNT), constraints);
    }
}
