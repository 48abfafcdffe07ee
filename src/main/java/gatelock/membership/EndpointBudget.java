package gatelock.membership;

import java.util.TreeSet;

/**
 * Divides {@code maxEndpoints} slots among the services. If the slots do not cover the target of every service, the
 * same lower limit applies to each service, so that services with many endpoints are reduced first. The limit is
 * lowered immediately and raised only after the settle time. If there are more services than slots, each slot goes to a
 * different service: a service that has a slot keeps it, and free slots are assigned in the order of the relay's
 * ranking of the services.
 */
final class EndpointBudget {
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final RecoverySchedule recovery;
    /** Number of services that need exactly as many endpoints as the array index. */
    private final int[] servicesByNeed;
    /** Maximum number of endpoints per service; 0 if there are more services than slots. */
    private int perServiceLimit = UNLIMITED;

    /** When the limit may be raised; {@link SettleTimer#NEVER} if no raise is pending. */
    private long limitRaiseDueUs = SettleTimer.NEVER;
    /** Services that wait for a slot; empty unless the per-service limit is 0. */
    private final TreeSet<ServiceState> servicesWaitingForSlot = new TreeSet<>();
    /** Number of services that have a slot; 0 unless the per-service limit is 0. */
    private int servicesWithSlot;

    /** Creates a budget for the listed services. */
    EndpointBudget(EndpointSubset.Policy policy, ListedServices listed, RecoverySchedule recovery) {
        this.policy = policy;
        this.listed = listed;
        this.recovery = recovery;
        servicesByNeed = new int[policy.maxEndpoints() + 1];
    }

    /** Returns the target number of ready endpoints of a service, which may exceed the number that is listed. */
    int target(ServiceState service) {
        if (perServiceLimit == 0) {
            return service.hasSlot ? 1 : 0;
        }
        return Math.min(perServiceLimit, policy.target(listed.readyCount(service)));
    }

    /**
     * Returns how many ready endpoints of a service should be in the subset: its target, or all ready ones if fewer.
     */
    int wanted(ServiceState service) {
        return Math.min(target(service), listed.readyCount(service));
    }

    /** Returns the smallest target of any service; less than the policy's minimum if there are too few slots. */
    int targetPerService() {
        return Math.min(perServiceLimit, policy.target(0));
    }

    /** Returns the number of services that have ready endpoints but no slot. */
    int servicesWithoutSlot() {
        return servicesWaitingForSlot.size();
    }

    /**
     * Recomputes the needs of the dirty services, adjusts the limit and assigns free slots. Services that are affected
     * are marked dirty.
     */
    void update(long nowUs) {
        for (ServiceState service : listed.dirty()) {
            updateNeed(service);
        }
        int affordable = affordableLimit();
        boolean canRaise = affordable > perServiceLimit;
        limitRaiseDueUs = SettleTimer.deadline(canRaise, limitRaiseDueUs, nowUs, policy.settleUs());
        if (affordable < perServiceLimit || (canRaise && nowUs >= limitRaiseDueUs)) {
            setLimit(affordable);
        }
        assignSlots();
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
        if (need == 0 && service.hasSlot) {
            service.hasSlot = false;
            servicesWithSlot--;
        }
        if (listed.endpointCount(service) == 0) {
            listed.remove(service);
            servicesWaitingForSlot.remove(service);
            recovery.set(service, SettleTimer.NEVER);
        } else if (need == 0) {
            servicesWaitingForSlot.remove(service);
        } else if (perServiceLimit == 0 && !service.hasSlot) {
            servicesWaitingForSlot.add(service);
        }
    }

    /** Returns the largest per-service limit with which all services together fit into the slots. */
    private int affordableLimit() {
        int servicesWantingMore = 0;
        for (int services : servicesByNeed) {
            servicesWantingMore += services;
        }
        int affordable = 0;
        int slots = 0;
        while (servicesWantingMore > 0) {
            slots += servicesWantingMore;
            if (slots > policy.maxEndpoints()) {
                return affordable;
            }
            affordable++;
            servicesWantingMore -= servicesByNeed[affordable];
        }
        return UNLIMITED;
    }

    private void setLimit(int newLimit) {
        perServiceLimit = newLimit;
        limitRaiseDueUs = SettleTimer.NEVER;
        servicesWaitingForSlot.clear();
        servicesWithSlot = 0;
        for (ServiceState service : listed.services()) {
            service.hasSlot = false;
            service.needsSelection = true;
            listed.markDirty(service);
            if (perServiceLimit == 0 && service.need > 0) {
                servicesWaitingForSlot.add(service);
            }
        }
    }

    private void assignSlots() {
        while (servicesWithSlot < policy.maxEndpoints() && !servicesWaitingForSlot.isEmpty()) {
            ServiceState service = servicesWaitingForSlot.pollFirst();
            service.hasSlot = true;
            service.needsSelection = true;
            servicesWithSlot++;
            listed.markDirty(service);
        }
    }
}
