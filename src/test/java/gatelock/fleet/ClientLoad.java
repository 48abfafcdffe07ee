package gatelock.fleet;

import gatelock.api.RequestConstraints;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.List;

/** The clients of a fleet: each relay gets requests as a Poisson process of its own rate. */
final class ClientLoad {
    private static final int KEYS = 5000;

    /** A route and how long its clients wait for an answer. */
    private record Route(RoutePolicy policy, long clientTimeoutUs) {}

    private static final List<Route> ROUTES = List.of(
            route(RoutePolicy.RetrySafety.RETRIABLE, 10, 2, 2, 5),
            route(RoutePolicy.RetrySafety.DEDUPED, 12, 3, 5, 12),
            route(RoutePolicy.RetrySafety.NON_RETRIABLE, 10, 4, 5, 16));

    private static Route route(
            RoutePolicy.RetrySafety repeat, int rememberS, int objectiveS, double value, int clientTimeoutS) {
        return new Route(
                new RoutePolicy(
                        repeat,
                        RoutePolicy.DedupScope.ALL,
                        rememberS * VirtualClock.SECOND_US,
                        objectiveS * VirtualClock.SECOND_US,
                        value),
                clientTimeoutS * VirtualClock.SECOND_US);
    }

    /** The clients of one relay. */
    private static final class Client {
        private final SimulatedRelay relay;
        private double requestsPerS;

        Client(SimulatedRelay relay, double requestsPerS) {
            this.relay = relay;
            this.requestsPerS = requestsPerS;
        }
    }

    private final Simulation simulation;
    private final ServiceCatalog services;
    private final List<Client> clients = new ArrayList<>();
    private long nextRequestId;
    private boolean stopped;

    ClientLoad(Simulation simulation, ServiceCatalog services) {
        this.simulation = simulation;
        this.services = services;
    }

    /** The policies of all routes, by the index of the route. */
    static List<RoutePolicy> routePolicies() {
        return ROUTES.stream().map(Route::policy).toList();
    }

    /** Requests come to a relay at this rate from now on. */
    void start(SimulatedRelay relay, double requestsPerS) {
        Client client = new Client(relay, requestsPerS);
        clients.add(client);
        scheduleNextRequest(client);
    }

    /** Multiplies the request rate of every relay from now on. */
    void scale(double factor) {
        clients.forEach(client -> client.requestsPerS *= factor);
    }

    /** No further requests are sent. */
    void stop() {
        stopped = true;
    }

    private void scheduleNextRequest(Client client) {
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
        relay.accept(request, simulation.random().nextLong(KEYS), constraints);
    }
}
