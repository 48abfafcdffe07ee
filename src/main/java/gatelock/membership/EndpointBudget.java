package gatelock.membership;

import java.util.TreeSet;

/**
 * Shares {@code maxEndpoints} among the services: where not all can have what they aim at, all have the same lower
 * limit, so that large services give up places first. The limit falls at once and rises after the settle time. Where
 * there are more services than places, as many services as possible have one endpoint each; those that have one keep
 * it, and the relay's ranking of the services decides which come next.
 */
final class EndpointBudget {
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final RecoverySchedule recovery;
    /** Number of services by how many endpoints they need. */
    private final int[] servicesByNeed;
    /** Endpoints that each service may have; 0 where there are more services than places. */
    private int limit = UNLIMITED;

    private long limitRisesAtUs = SettleTimer.NEVER;
    /** Services without a place, where there are more services than places. */
    private final TreeSet<ServiceState> waiting = new TreeSet<>();
    /** Services with a place, where there are more services than places. */
    private int servicesWithPlace;

    /** A budget for what is listed. */
    EndpointBudget(EndpointSubset.Policy policy, ListedServices listed, RecoverySchedule recovery) {
        this.policy = policy;
        this.listed = listed;
        this.recovery = recovery;
        servicesByNeed = new int[policy.maxEndpoints() + 1];
    }

    /** Number of ready endpoints that a service aims at, which may be more than it has. */
    int target(ServiceState service) {
        if (limit == 0) {
            return service.hasPlace ? 1 : 0;
        }
        return Math.min(limit, policy.target(listed.readyCount(service)));
    }

    /** Number of ready endpoints that a service should have in the subset, at most those that are listed. */
    int wanted(ServiceState service) {
        return Math.min(target(service), listed.readyCount(service));
    }

    /** Number of endpoints that any service aims at; less than the policy says where places do not suffice. */
    int targetPerService() {
        return Math.min(limit, policy.target(0));
    }

    /** Number of services that have ready endpoints and no place. */
    int servicesWithoutPlace() {
        return waiting.size();
    }

    /** Counts what the dirty services need and shares the places out again; services it affects become dirty. */
    void update(long nowUs) {
        for (ServiceState service : listed.dirty()) {
            updateNeed(service);
        }
        int affordable = affordableLimit();
        boolean rises = affordable > limit;
        limitRisesAtUs = SettleTimer.deadline(rises, limitRisesAtUs, nowUs, policy.settleUs());
        if (affordable < limit || (rises && nowUs >= limitRisesAtUs)) {
            setLimit(affordable);
        }
        givePlaces();
    }

    private void updateNeed(ServiceState service) {
        int ready = listed.readyCount(service);
        int need = Math.min(ready, policy.target(ready));
        if (service.need > 0) {
            servicesByNeed[service.need]--;
        }
        if (need > 0) {
            servicesByNeed[need]++;
        }
        service.needsSelection |= service.need != need;
        service.need = need;
        if (need == 0 && service.hasPlace) {
            service.hasPlace = false;
            servicesWithPlace--;
        }
        if (listed.endpointCount(service) == 0) {
            listed.forget(service);
            waiting.remove(service);
            recovery.set(service, SettleTimer.NEVER);
        } else if (need == 0) {
            waiting.remove(service);
        } else if (limit == 0 && !service.hasPlace) {
            waiting.add(service);
        }
    }

    /** The largest limit with which all services together stay within the places. */
    private int affordableLimit() {
        int servicesInNeed = 0;
        for (int services : servicesByNeed) {
            servicesInNeed += services;
        }
        int affordable = 0;
        int places = 0;
        while (servicesInNeed > 0) {
            places += servicesInNeed;
            if (places > policy.maxEndpoints()) {
                return affordable;
            }
            affordable++;
            servicesInNeed -= servicesByNeed[affordable];
        }
        return UNLIMITED;
    }

    private void setLimit(int newLimit) {
        limit = newLimit;
        limitRisesAtUs = SettleTimer.NEVER;
        waiting.clear();
        servicesWithPlace = 0;
        for (ServiceState service : listed.services()) {
            service.hasPlace = false;
            service.needsSelection = true;
            listed.markDirty(service);
            if (limit == 0 && service.need > 0) {
                waiting.add(service);
            }
        }
    }

    private void givePlaces() {
        while (servicesWithPlace < policy.maxEndpoints() && !waiting.isEmpty()) {
            ServiceState service = waiting.pollFirst();
            service.hasPlace = true;
            service.needsSelection = true;
            servicesWithPlace++;
            listed.markDirty(service);
        }
    }
}
