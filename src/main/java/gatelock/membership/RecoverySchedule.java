package gatelock.membership;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Services whose preferred endpoints were evicted while they were silent, in the order in which these endpoints are to
 * be added again.
 */
final class RecoverySchedule {
    private final Set<ServiceState> services = new LinkedHashSet<>();

    /**
     * Sets when a service's missing preferred endpoints are to be added again.
     *
     * @param dueUs the time, or {@link SettleTimer#NEVER} if none are to be added again
     */
    void set(ServiceState service, long dueUs) {
        if (service.recoveryDueUs == dueUs) {
            return;
        }
        services.remove(service);
        service.recoveryDueUs = dueUs;
        if (dueUs != SettleTimer.NEVER) {
            services.add(service);
        }
    }

    /** Removes a service that is due from the schedule and returns it, or returns null if none is due. */
    ServiceState pollDue(long nowUs) {
        Iterator<ServiceState> iterator = services.iterator();
        if (!iterator.hasNext()) {
            return null;
        }
        ServiceState first = iterator.next();
        if (first.recoveryDueUs > nowUs) {
            return null;
        }
        set(first, SettleTimer.NEVER);
        return first;
    }
}
