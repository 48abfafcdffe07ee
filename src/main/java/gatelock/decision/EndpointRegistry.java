package gatelock.decision;

import gatelock.api.DecisionEngine.EndpointUpdateType;
import gatelock.api.Endpoint;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The endpoints and builds as discovery lists them. */
final class EndpointRegistry {
    private final DecisionContext context;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final TreeMap<Integer, BuildState> builds = new TreeMap<>();
    private int places = 1;

    EndpointRegistry(DecisionContext context) {
        this.context = context;
    }

    /** Takes over a list, or a part of it; whatever a whole list lacks has left. */
    void update(EndpointUpdateType form, List<Endpoint> entries) {
        if (form != EndpointUpdateType.DELTA) {
            endpoints.values().forEach(endpoint -> endpoint.setHealth(Endpoint.Health.GONE));
        }
        for (Endpoint entry : entries) {
            EndpointState known = endpoints.get(entry.name());
            // A restarted or re-used id is a new endpoint: nothing of its past holds.
            EndpointState endpoint = known != null && known.isProcessOf(entry) ? known : addEndpoint(entry);
            endpoint.setHealth(entry.health());
        }
        forgetUnused();
        refreshReadyEndpoints();
    }

    private EndpointState addEndpoint(Endpoint entry) {
        BuildState build = builds.get(entry.build());
        if (build == null) {
            rememberStateBeforeCanary();
            build = new BuildState(entry.build(), context);
            builds.put(entry.build(), build);
        }
        EndpointState endpoint = new EndpointState(entry, build, context);
        endpoints.put(entry.name(), endpoint);
        context.rollout().endpointListed(entry.build(), entry.startedAtUs(), context.nowUs());
        return endpoint;
    }

    private void rememberStateBeforeCanary() {
        for (BuildState build : builds.values()) {
            build.ownOutcomes().takeSnapshot();
            build.sampledOutcomes().takeSnapshot();
        }
        context.throughput().rememberWorkBeforeCanary();
    }

    /**
     * Ids and builds come and go: an endpoint that left is forgotten with its last attempt, a build with its endpoints
     * once it is before all that is compared.
     */
    private void forgetUnused() {
        builds.values().forEach(build -> build.readyEndpoints().clear());
        endpoints.values().removeIf(EndpointState::isForgettable);
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
        places = 1;
        for (BuildState build : builds.values()) {
            places = Math.max(places, build.readyEndpoints().size());
        }
    }

    /** The endpoint listed under this id, or null. */
    EndpointState endpoint(String id) {
        return endpoints.get(id);
    }

    /** All builds, the oldest first. */
    Collection<BuildState> builds() {
        return builds.values();
    }

    /** All builds, the newest first. */
    Collection<BuildState> buildsNewestFirst() {
        return builds.descendingMap().values();
    }

    /** The build of this number, or null. */
    BuildState build(int number) {
        return builds.get(number);
    }

    /** The newest build as the release controller names it, or null where none of its endpoints was listed. */
    BuildState newestBuild() {
        return builds.get(context.rollout().newestBuild());
    }

    /** The latest build before the newest that has outcomes and was not withdrawn, or null. */
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

    /** The number of the oldest build that is kept; {@link Integer#MAX_VALUE} where there is none. */
    int oldestBuildNumber() {
        return builds.isEmpty() ? Integer.MAX_VALUE : builds.firstKey();
    }

    /** How many endpoints the fleet has for its work: those of its largest build, one at least. */
    int places() {
        return places;
    }

    /** Rules 3 and 5: nothing new to an endpoint that leaves or came back as another, nor to a build not open. */
    boolean mayReceive(EndpointState endpoint) {
        return endpoint.isReady()
                && endpoints.get(endpoint.id()) == endpoint
                && endpoint.build().isOpen();
    }
}
