package gatelock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The listed endpoints and their services, and the services that have to be reconciled with the subset. */
final class ListedServices {
    private final RendezvousRanking ranking;
    private EndpointStore store;
    private final Map<String, ServiceState> services = new LinkedHashMap<>();
    /** Services whose members have to be reconciled, in the order in which they were first marked. */
    private final Set<ServiceState> dirty = new LinkedHashSet<>();

    /** Creates an instance with no listed endpoints. */
    ListedServices(RendezvousRanking ranking) {
        this.ranking = ranking;
        store = new EndpointStore(ranking);
    }

    /** Returns the store of the listed endpoints. */
    EndpointStore store() {
        return store;
    }

    /** Replaces all listed endpoints. The services are kept until {@link #remove} is called for them. */
    void replaceStore(EndpointStore replacement) {
        store = replacement;
    }

    /** Returns the state of a service, which is created if the service is unknown. */
    ServiceState service(String name) {
        return services.computeIfAbsent(name, added -> new ServiceState(added, ranking.rank(ranking.hash(added))));
    }

    /** Returns a view of the known services. */
    Collection<ServiceState> services() {
        return Collections.unmodifiableCollection(services.values());
    }

    /** Returns the number of known services. */
    int size() {
        return services.size();
    }

    /** Removes a service that has no listed endpoints left. */
    void remove(ServiceState service) {
        store.removeService(service.name());
        services.remove(service.name());
    }

    /** Returns the number of listed endpoints of a service. */
    int endpointCount(ServiceState service) {
        return store.endpointCount(service.name());
    }

    /** Returns the number of ready listed endpoints of a service. */
    int readyCount(ServiceState service) {
        return store.readyCount(service.name());
    }

    /** Marks a service for reconciliation. */
    void markDirty(ServiceState service) {
        dirty.add(service);
    }

    /**
     * Marks a service whose listed endpoints have changed for reconciliation. Also clears the exhausted search for
     * replacements, because the changed list may hold new candidates.
     */
    void markChanged(ServiceState service) {
        service.searchExhausted = false;
        dirty.add(service);
    }

    /** Returns a view of the services that have to be reconciled. */
    Set<ServiceState> dirty() {
        return Collections.unmodifiableSet(dirty);
    }

    /** Returns the services that have to be reconciled and clears their marks. */
    List<ServiceState> drainDirty() {
        List<ServiceState> drained = new ArrayList<>(dirty);
        dirty.clear();
        return drained;
    }
}
