package gatelock.config;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which endpoints belong to which pool of the active version, and which pool serves in place of another.
 * Endpoints are grouped by the properties that a pool can select by, so that the cost of activating a version is
 * proportional to the number of groups times the number of distinct selection criteria, independent of the number of
 * endpoints, routes and pools.
 */
final class PoolMembership {
    private final Map<String, Member> members = new HashMap<>();
    private final Map<Properties, EndpointGroup> groups = new HashMap<>();
    private Map<String, PoolState> pools = Map.of();
    /** The number of ready endpoints for each of {@link CompiledConfig#selectors()}, by index. */
    private int[] readyBySelector = new int[0];

    private CompiledConfig active;

    /** The endpoint properties that a pool can select by. */
    private record Properties(int zone, int instanceType, Map<String, String> labels) {}

    /** The counts of endpoints that have the same properties. */
    private static final class EndpointGroup {
        private final Properties properties;
        private int endpointCount;
        private int readyCount;
        /** The indices of those of {@link CompiledConfig#selectors()} in the active version that select the group. */
        private BitSet selectedBy = new BitSet();

        private EndpointGroup(Properties properties) {
            this.properties = properties;
        }

        private void updateSelectedBy(CompiledConfig config) {
            selectedBy = new BitSet();
            List<Pool> selectors = config.selectors();
            for (int i = 0; i < selectors.size(); i++) {
                selectedBy.set(i, isSelectedBy(selectors.get(i)));
            }
        }

        private boolean isSelectedBy(Pool pool) {
            return pool.selects(properties.zone, properties.instanceType, properties.labels);
        }

        private boolean isReachedBy(CompiledConfig config) {
            return config.reaches(properties.zone, properties.instanceType, properties.labels);
        }
    }

    /** A listed endpoint: its group, and whether it is ready. */
    private record Member(EndpointGroup group, boolean ready) {}

    /**
     * A comparison of the ready endpoints that the routes of two versions reach.
     *
     * @param reached number of ready endpoints that the first version's routes reach
     * @param dropped number of these that the second version's routes do not reach
     */
    record ReachComparison(int reached, int dropped) {}

    /** Applies a complete endpoint list or a change to the current list; {@code labels} are by endpoint name. */
    void updateEndpoints(
            long nowUs,
            DecisionEngine.EndpointUpdateType updateType,
            List<Endpoint> endpoints,
            Map<String, Map<String, String>> labels) {
        if (updateType == DecisionEngine.EndpointUpdateType.FAILED) {
            return;
        }
        // Record the number of ready endpoints that each pool had until now before the numbers change.
        for (PoolState pool : pools.values()) {
            pool.updateRecentPeak(nowUs, readyBySelector[pool.selectorIndex()]);
        }
        if (updateType != DecisionEngine.EndpointUpdateType.DELTA) {
            removeUnlisted(endpoints);
        }
        for (Endpoint endpoint : endpoints) {
            updateEndpoint(endpoint, labels.getOrDefault(endpoint.name(), Map.of()));
        }
        groups.values().removeIf(group -> group.endpointCount == 0);
    }

    private void removeUnlisted(List<Endpoint> endpoints) {
        Set<String> listed = new HashSet<>();
        endpoints.forEach(endpoint -> listed.add(endpoint.name()));
        members.entrySet().removeIf(member -> {
            boolean unlisted = !listed.contains(member.getKey());
            if (unlisted) {
                addToCounts(member.getValue(), -1);
            }
            return unlisted;
        });
    }

    private void updateEndpoint(Endpoint endpoint, Map<String, String> labels) {
        Member previous = members.remove(endpoint.name());
        if (previous != null) {
            addToCounts(previous, -1);
        }
        if (endpoint.health() == Endpoint.Health.GONE) {
            return;
        }
        EndpointGroup group = findOrCreateGroup(new Properties(endpoint.zone(), endpoint.instanceType(), labels));
        Member member = new Member(group, endpoint.health() == Endpoint.Health.READY);
        members.put(endpoint.name(), member);
        addToCounts(member, 1);
    }

    private EndpointGroup findOrCreateGroup(Properties properties) {
        EndpointGroup group = groups.get(properties);
        if (group == null) {
            group = new EndpointGroup(properties);
            groups.put(properties, group);
            if (active != null) {
                group.updateSelectedBy(active);
            }
        }
        return group;
    }

    private void addToCounts(Member member, int change) {
        member.group.endpointCount += change;
        if (member.ready) {
            member.group.readyCount += change;
            addToReadyBySelector(member.group, change);
        }
    }

    private void addToReadyBySelector(EndpointGroup group, int change) {
        BitSet selectors = group.selectedBy;
        for (int i = selectors.nextSetBit(0); i >= 0; i = selectors.nextSetBit(i + 1)) {
            readyBySelector[i] += change;
        }
    }

    /** Makes a version the active one; a pool whose definition is unchanged keeps its state. */
    void activate(long nowUs, CompiledConfig next) {
        Map<String, PoolState> previousPools = pools;
        int[] previousReady = readyBySelector;
        active = next;
        readyBySelector = new int[next.selectors().size()];
        for (EndpointGroup group : groups.values()) {
            group.updateSelectedBy(next);
            addToReadyBySelector(group, group.readyCount);
        }
        pools = new HashMap<>();
        for (Pool pool : next.pools().values()) {
            PoolState state = new PoolState(pool, next.selectorIndex(pool));
            PoolState previous = previousPools.get(pool.name());
            if (previous != null && previous.pool().equals(pool)) {
                state.inherit(nowUs, previous, previousReady[previous.selectorIndex()]);
            }
            pools.put(pool.name(), state);
        }
    }

    /**
     * Returns the pool that serves requests of the given pool: itself, or its first fallback with enough endpoints.
     *
     * @param nowUs the current time
     * @param config the version that defines the pool and its fallbacks, which may be no longer active
     * @param pool the name of the pool
     */
    Pool servingPool(long nowUs, CompiledConfig config, String pool) {
        List<Pool> chain =
                config.fallbackChain(pool).stream().map(config.pools()::get).toList();
        for (Pool candidate : chain) {
            if (hasEnoughEndpoints(nowUs, candidate)) {
                return candidate;
            }
        }
        // No pool has enough: use the first in the chain with any ready endpoint, starting with the pool itself.
        for (Pool candidate : chain) {
            if (readyCount(candidate) > 0) {
                return candidate;
            }
        }
        return chain.get(0);
    }

    /**
     * Returns whether a pool can serve its own requests. The recent peak is known only for pools that the active version
     * defines in the same way; for others any ready endpoint is enough.
     */
    private boolean hasEnoughEndpoints(long nowUs, Pool pool) {
        PoolState state = activeState(pool);
        return state == null
                ? readyCount(pool) > 0
                : !state.updateFallback(nowUs, readyBySelector[state.selectorIndex()]);
    }

    /** Returns the state of a pool of any version, or null if the active version does not define it in the same way. */
    private PoolState activeState(Pool pool) {
        PoolState state = pools.get(pool.name());
        return state != null && state.pool().equals(pool) ? state : null;
    }

    /** Returns the number of ready endpoints in a pool of any version. */
    private int readyCount(Pool pool) {
        PoolState state = activeState(pool);
        if (state != null) {
            return readyBySelector[state.selectorIndex()];
        }
        int ready = 0;
        for (EndpointGroup group : groups.values()) {
            ready += group.isSelectedBy(pool) ? group.readyCount : 0;
        }
        return ready;
    }

    /** Returns whether an endpoint belongs to a pool of the active version. */
    boolean contains(String pool, String endpoint) {
        Member member = members.get(endpoint);
        PoolState state = pools.get(pool);
        return member != null && state != null && member.group.selectedBy.get(state.selectorIndex());
    }

    /** Returns whether an endpoint belongs to a pool of any version, including one that is no longer active. */
    boolean matches(Pool pool, String endpoint) {
        Member member = members.get(endpoint);
        return member != null && member.group.isSelectedBy(pool);
    }

    /** Returns the number of ready endpoints in a pool of the active version, or 0 if there is no such pool. */
    int readyCount(String pool) {
        PoolState state = pools.get(pool);
        return state == null ? 0 : readyBySelector[state.selectorIndex()];
    }

    /** Counts the ready endpoints that the first version's routes reach, and those of them that the second's do not. */
    ReachComparison compareReach(CompiledConfig first, CompiledConfig second) {
        int reached = 0;
        int dropped = 0;
        for (EndpointGroup group : groups.values()) {
            if (group.isReachedBy(first)) {
                reached += group.readyCount;
                dropped += group.isReachedBy(second) ? 0 : group.readyCount;
            }
        }
        return new ReachComparison(reached, dropped);
    }
}
