package gatelock.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;

/**
 * Measures the CPU time of the thread that simulates a fleet, by kind of work, and the heap memory that the relays
 * allocate. Garbage collection runs on other threads and is not included. A disabled meter has no cost and reports
 * zeros.
 */
final class CpuMeter {
    /** The kinds of work. */
    enum Role {
        /** Everything outside the relays, and the simulation itself. */
        SIMULATION,
        /** Updates of a relay's endpoint list. */
        ENDPOINT_LIST,
        /** Updates of a relay's subset of the list. */
        SUBSET,
        /** The periodic tick of a relay's decision engine. */
        TICK,
        /** Decisions about a relay's requests. */
        REQUESTS
    }

    private final boolean enabled;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Map<Role, Long> cpuNsByRole = new EnumMap<>(Role.class);
    private Role role = Role.SIMULATION;
    private boolean running;
    private long lastSwitchNs;
    private long heapBeforeBytes;
    private long heapAllocatedBytes;

    /** @param enabled whether anything is measured */
    CpuMeter(boolean enabled) {
        this.enabled = enabled;
    }

    /**
     * Attributes the following CPU time to a role and returns the previous role, so that the caller can switch back.
     */
    Role switchTo(Role next) {
        Role previous = role;
        if (running && next != previous) {
            long nowNs = threads.getCurrentThreadCpuTime();
            cpuNsByRole.merge(previous, nowNs - lastSwitchNs, Long::sum);
            lastSwitchNs = nowNs;
        }
        role = next;
        return previous;
    }

    /** Starts the measurement of CPU time, which continues until {@link #stop}. */
    void start() {
        running = enabled;
        lastSwitchNs = enabled ? threads.getCurrentThreadCpuTime() : 0;
    }

    /** Stops the measurement of CPU time. */
    void stop() {
        running = false;
    }

    /** Returns the CPU time of a role, in microseconds. */
    double cpuUs(Role requestedRole) {
        return cpuNsByRole.getOrDefault(requestedRole, 0L) / 1000.0;
    }

    /** Measures the used heap before the relays are started. */
    void beforeAllocation() {
        heapBeforeBytes = usedHeapBytes();
    }

    /** Measures the used heap after the relays were started. */
    void afterAllocation() {
        heapAllocatedBytes = usedHeapBytes() - heapBeforeBytes;
    }

    /** Returns the heap that was allocated between {@link #beforeAllocation} and {@link #afterAllocation}. */
    long heapAllocatedBytes() {
        return heapAllocatedBytes;
    }

    private long usedHeapBytes() {
        if (!enabled) {
            return 0;
        }
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
