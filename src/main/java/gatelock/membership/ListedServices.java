package gatelock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All that is listed, by service, and which services have to be reconciled with the subset. */
final class ListedServices {
    private final RendezvousRanking ranking;
    private EndpointStore store;
    private final Map<String, ServiceState> services = new LinkedHashMap<>();
    /** Services whose part of the subset has to be looked at, in the order in which they changed. */
    private final Set<ServiceState> dirty = new LinkedHashSet<>();

    /** Nothing is listed yet. */
    ListedServices(RendezvousRanking ranking) {
        this.ranking = ranking;
        store = new EndpointStore(ranking);
    }

    /** The listed endpoints. */
    EndpointStore store() {
        return store;
    }

    /** Replaces all listed endpoints; the services remain until they are forgotten. */
    void replaceStore(EndpointStore replacement) {
        store = replacement;
    }

    /** The state of a service, new if it is not known. */
    ServiceState service(String name) {
        return services.computeIfAbsent(name, added -> new ServiceState(added, ranking.rank(ranking.hash(added))));
    }

    /** The known services. */
    Collection<ServiceState> services() {
        return Collections.unmodifiableCollection(services.values());
    }

    /** Number of known services. */
    int size() {
        return services.size();
    }

    /** Forgets a service that has no listed endpoint left. */
    void forget(ServiceState service) {
        store.forgetService(service.name());
        services.remove(service.name());
    }

    /** Number of listed endpoints of a service. */
    int endpointCount(ServiceState service) {
        return store.endpointCount(service.name());
    }

    /** Number of listed endpoints of a service that are ready. */
    int readyCount(ServiceState service) {
        return store.readyCount(service.name());
    }

    /** The service has to be reconciled. */
    void markDirty(ServiceState service) {
        dirty.add(service);
    }

    /** The service's listed endpoints changed: it has to be reconciled, and there may be more to find. */
    void markChanged(ServiceState service) {
        service.searchExhausted = false;
        dirty.add(service);
    }

    /** The services that have to be reconciled. */
    Set<ServiceState> dirty() {
        return Collections.unmodifiableSet(dirty);
    }

    /** Returns the services that have to be reconciled; none has to be from now on. */
    List<ServiceState> drainDirty() {
        List<ServiceState> drained = new ArrayList<>(dirty);
        dirty.clear();
        return drained;
    }
}
