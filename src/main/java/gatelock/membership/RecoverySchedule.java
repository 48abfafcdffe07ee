package gatelock.membership;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Services of which preferred endpoints had to leave, in the order in which these are to be added again. */
final class RecoverySchedule {
    private final Set<ServiceState> services = new LinkedHashSet<>();

    /**
     * Sets when a service's preferred endpoints are added again.
     *
     * @param atUs the time, {@link SettleTimer#NEVER} where none is missing
     */
    void set(ServiceState service, long atUs) {
        if (service.recoversAtUs == atUs) {
            return;
        }
        services.remove(service);
        service.recoversAtUs = atUs;
        if (atUs != SettleTimer.NEVER) {
            services.add(service);
        }
    }

    /** Returns a service whose time has come and takes it off the schedule; null for none. */
    ServiceState pollDue(long nowUs) {
        Iterator<ServiceState> iterator = services.iterator();
        if (!iterator.hasNext()) {
            return null;
        }
        ServiceState first = iterator.next();
        if (first.recoversAtUs > nowUs) {
            return null;
        }
        set(first, SettleTimer.NEVER);
        return first;
    }
}
