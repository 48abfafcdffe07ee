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
 * Endpoints are grouped by the properties that a pool can select by, so that activating a version costs as much as there
 * are groups times distinct selection criteria, whatever the number of endpoints, routes and pools.
 */
final class PoolMembership {
    private final Map<String, Member> members = new HashMap<>();
    private final Map<Properties, EndpointGroup> groups = new HashMap<>();
    private Map<String, PoolState> pools = Map.of();
    /** Ready endpoints by the index of the selection criteria. */
    private int[] readyBySelector = new int[0];

    private CompiledConfig active;

    /** Everything that a pool can select endpoints by. */
    private record Properties(int zone, int kind, Map<String, String> labels) {}

    /** The endpoints with the same properties. */
    private static final class EndpointGroup {
        private final Properties properties;
        private int endpoints;
        private int ready;
        /** Indices of the active version's selection criteria that select the group. */
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
            return pool.selects(properties.zone, properties.kind, properties.labels);
        }

        private boolean isReachedBy(CompiledConfig config) {
            return config.reaches(properties.zone, properties.kind, properties.labels);
        }
    }

    private record Member(EndpointGroup group, boolean ready) {}

    /**
     * How the reach of two versions compares, in ready endpoints.
     *
     * @param reached that the first version's routes reach
     * @param dropped of these, that the second version's routes do not reach
     */
    record ReachComparison(int reached, int dropped) {}

    /** Applies the endpoint list or a change of it; {@code labels} by endpoint name. */
    void updateEndpoints(
            long nowUs,
            DecisionEngine.EndpointUpdateType form,
            List<Endpoint> entries,
            Map<String, Map<String, String>> labels) {
        if (form == DecisionEngine.EndpointUpdateType.FAILED) {
            return;
        }
        // What each pool had until now is noted before it changes.
        for (PoolState pool : pools.values()) {
            pool.updateUsualReady(nowUs, readyBySelector[pool.selectorIndex()]);
        }
        if (form != DecisionEngine.EndpointUpdateType.DELTA) {
            removeUnlisted(entries);
        }
        for (Endpoint entry : entries) {
            updateEndpoint(entry, labels.getOrDefault(entry.name(), Map.of()));
        }
        groups.values().removeIf(group -> group.endpoints == 0);
    }

    private void removeUnlisted(List<Endpoint> entries) {
        Set<String> listed = new HashSet<>();
        entries.forEach(entry -> listed.add(entry.name()));
        members.entrySet().removeIf(member -> {
            boolean unlisted = !listed.contains(member.getKey());
            if (unlisted) {
                addToCounts(member.getValue(), -1);
            }
            return unlisted;
        });
    }

    private void updateEndpoint(Endpoint entry, Map<String, String> labels) {
        Member previous = members.remove(entry.name());
        if (previous != null) {
            addToCounts(previous, -1);
        }
        if (entry.health() == Endpoint.Health.GONE) {
            return;
        }
        EndpointGroup group = findOrCreateGroup(new Properties(entry.zone(), entry.instanceType(), labels));
        Member member = new Member(group, entry.health() == Endpoint.Health.READY);
        members.put(entry.name(), member);
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
        member.group.endpoints += change;
        if (member.ready) {
            member.group.ready += change;
            addToReadyBySelector(member.group, change);
        }
    }

    private void addToReadyBySelector(EndpointGroup group, int change) {
        BitSet selectors = group.selectedBy;
        for (int i = selectors.nextSetBit(0); i >= 0; i = selectors.nextSetBit(i + 1)) {
            readyBySelector[i] += change;
        }
    }

    /** Makes a version active; a pool that is defined as before keeps its state. */
    void activate(long nowUs, CompiledConfig next) {
        Map<String, PoolState> previousPools = pools;
        int[] previousReady = readyBySelector;
        active = next;
        readyBySelector = new int[next.selectors().size()];
        for (EndpointGroup group : groups.values()) {
            group.updateSelectedBy(next);
            addToReadyBySelector(group, group.ready);
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

    /** Returns the pool that serves in place of this one: itself, or the first fallback with enough endpoints. */
    String servingPool(long nowUs, String pool) {
        List<String> chain = active.fallbackChain(pool);
        for (String name : chain) {
            PoolState state = pools.get(name);
            if (!state.updateFallback(nowUs, readyBySelector[state.selectorIndex()])) {
                return name;
            }
        }
        // None has enough: the pool itself if it has any endpoint, or else the first fallback that has one.
        for (String name : chain) {
            if (readyCount(name) > 0) {
                return name;
            }
        }
        return pool;
    }

    /** Whether an endpoint belongs to a pool of the active version. */
    boolean contains(String pool, String endpoint) {
        Member member = members.get(endpoint);
        PoolState state = pools.get(pool);
        return member != null && state != null && member.group.selectedBy.get(state.selectorIndex());
    }

    /** Whether an endpoint belongs to a pool of any version, also of one that is no longer active. */
    boolean matches(Pool pool, String endpoint) {
        Member member = members.get(endpoint);
        return member != null && member.group.isSelectedBy(pool);
    }

    /** Returns the number of ready endpoints in a pool of the active version; 0 if there is no such pool. */
    int readyCount(String pool) {
        PoolState state = pools.get(pool);
        return state == null ? 0 : readyBySelector[state.selectorIndex()];
    }

    /** Compares which ready endpoints two versions' routes can reach. */
    ReachComparison compareReach(CompiledConfig first, CompiledConfig second) {
        int reached = 0;
        int dropped = 0;
        for (EndpointGroup group : groups.values()) {
            if (group.isReachedBy(first)) {
                reached += group.ready;
                dropped += group.isReachedBy(second) ? 0 : group.ready;
            }
        }
        return new ReachComparison(reached, dropped);
    }
}
