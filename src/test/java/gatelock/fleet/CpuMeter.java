package gatelock.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;

/**
 * Processor time of the one thread that simulates a fleet, by the kind of work, and the heap that relays take. Garbage
 * collection runs on other threads and does not count. A meter that is off costs nothing and reports zeros.
 */
final class CpuMeter {
    /** The kinds of work. */
    enum Role {
        /** The world around the relays, and the simulation itself. */
        SIMULATION,
        /** A relay's endpoint list. */
        ENDPOINT_LIST,
        /** A relay's subset of the list. */
        SUBSET,
        /** The periodic tick of a relay's decisions. */
        TICK,
        /** A relay's requests. */
        REQUESTS
    }

    private final boolean enabled;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Map<Role, Long> cpuNsByRole = new EnumMap<>(Role.class);
    private Role role = Role.SIMULATION;
    private boolean running;
    private long switchedNs;
    private long heapBeforeBytes;
    private long heapAllocatedBytes;

    CpuMeter(boolean enabled) {
        this.enabled = enabled;
    }

    /** Counts what follows to a role; returns the role until now, to switch back to. */
    Role switchTo(Role next) {
        Role previous = role;
        if (running && next != previous) {
            long nowNs = threads.getCurrentThreadCpuTime();
            cpuNsByRole.merge(previous, nowNs - switchedNs, Long::sum);
            switchedNs = nowNs;
        }
        role = next;
        return previous;
    }

    /** Times count from now until {@link #stop}. */
    void start() {
        running = enabled;
        switchedNs = enabled ? threads.getCurrentThreadCpuTime() : 0;
    }

    void stop() {
        running = false;
    }

    /** Processor time of a role, in microseconds. */
    double cpuUs(Role of) {
        return cpuNsByRole.getOrDefault(of, 0L) / 1000.0;
    }

    void beforeAllocation() {
        heapBeforeBytes = usedHeapBytes();
    }

    void afterAllocation() {
        heapAllocatedBytes = usedHeapBytes() - heapBeforeBytes;
    }

    /** Heap that was taken between {@link #beforeAllocation} and {@link #afterAllocation}. */
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
