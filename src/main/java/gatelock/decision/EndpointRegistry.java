package gatelock.decision;

import gatelock.api.DecisionEngine.EndpointUpdateType;
import gatelock.api.Endpoint;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The endpoints and builds that discovery lists. */
final class EndpointRegistry {
    private final DecisionContext context;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final TreeMap<Integer, BuildState> builds = new TreeMap<>();
    private int fleetSize = 1;

    /** Creates a registry without endpoints. */
    EndpointRegistry(DecisionContext context) {
        this.context = context;
    }

    /** Applies a complete list or a partial update. Endpoints that a complete list does not contain have left it. */
    void update(EndpointUpdateType updateType, List<Endpoint> entries) {
        if (updateType != EndpointUpdateType.DELTA) {
            endpoints.values().forEach(endpoint -> endpoint.setHealth(Endpoint.Health.GONE));
        }
        for (Endpoint entry : entries) {
            EndpointState known = endpoints.get(entry.name());
            // An entry for a restarted process or a reused name is a new endpoint without measurements.
            EndpointState endpoint = known != null && known.isProcessOf(entry) ? known : addEndpoint(entry);
            endpoint.setHealth(entry.health());
        }
        removeUnused();
        refreshReadyEndpoints();
    }

    private EndpointState addEndpoint(Endpoint entry) {
        BuildState build = builds.get(entry.build());
        if (build == null) {
            snapshotStateBeforeCanary();
            build = new BuildState(entry.build(), context);
            builds.put(entry.build(), build);
        }
        EndpointState endpoint = new EndpointState(entry, build, context);
        endpoints.put(entry.name(), endpoint);
        context.rollout().endpointListed(entry.build(), entry.startedAtUs(), context.nowUs());
        return endpoint;
    }

    private void snapshotStateBeforeCanary() {
        for (BuildState build : builds.values()) {
            build.ownOutcomes().takeSnapshot();
            build.sampledOutcomes().takeSnapshot();
        }
        context.throughput().snapshotWorkBeforeCanary();
    }

    /**
     * Removes an endpoint that has left once its last attempt has ended, and a build once it has no endpoints and is
     * older than the builds that are compared. Otherwise endpoints and builds would accumulate.
     */
    private void removeUnused() {
        builds.values().forEach(build -> build.readyEndpoints().clear());
        endpoints.values().removeIf(EndpointState::isRemovable);
        BuildState earlier = buildBeforeNewest();
        if (earlier != null) {
            builds.keySet().removeIf(number -> number < earlier.number() && !hasEndpoints(number));
        }
    }

    private boolean hasEndpoints(int build) {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.build().number() == build);
    }

    private void refreshReadyEndpoints() {
        for (EndpointState endpoint : endpoints.values()) {
            if (endpoint.isReady()) {
                endpoint.build().readyEndpoints().add(endpoint);
            }
        }
        fleetSize = 1;
        for (BuildState build : builds.values()) {
            fleetSize = Math.max(fleetSize, build.readyEndpoints().size());
        }
    }

    /** Returns the endpoint with this name, or null if there is none. */
    EndpointState endpoint(String name) {
        return endpoints.get(name);
    }

    /** Returns all builds, the oldest first. */
    Collection<BuildState> builds() {
        return builds.values();
    }

    /** Returns all builds, the newest first. */
    Collection<BuildState> buildsNewestFirst() {
        return builds.descendingMap().values();
    }

    /** Returns the build with this number, or null. */
    BuildState build(int number) {
        return builds.get(number);
    }

    /** Returns the newest build according to the release controller, or null if none of its endpoints was listed. */
    BuildState newestBuild() {
        return builds.get(context.rollout().newestBuild());
    }

    /** Returns the latest build before the newest that has outcomes and was not withdrawn, or null. */
    BuildState buildBeforeNewest() {
        for (BuildState build : builds.headMap(context.rollout().newestBuild(), false)
                .descendingMap()
                .values()) {
            if (!context.rollout().isWithdrawn(build.number())
                    && !build.ownOutcomes().isEmpty()) {
                return build;
            }
        }
        return null;
    }

    /** Returns the number of the oldest known build, or {@link Integer#MAX_VALUE} if there is none. */
    int oldestBuildNumber() {
        return builds.isEmpty() ? Integer.MAX_VALUE : builds.firstKey();
    }

    /** Returns how many endpoints share the load: the number of ready endpoints of the largest build, at least one. */
    int fleetSize() {
        return fleetSize;
    }

    /**
     * Whether an endpoint may receive new requests. Enforces rules 3 and 5: nothing is sent to an endpoint that is
     * leaving or was replaced by another process, or to a build that accepts no new requests.
     */
    boolean mayReceive(EndpointState endpoint) {
        return endpoint.isReady()
                && endpoints.get(endpoint.name()) == endpoint
                && endpoint.build().acceptsNewRequests();
    }
}
