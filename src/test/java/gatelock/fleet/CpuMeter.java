package gatelock.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of the one thread that plays a fleet, by what it did, and the heap that relays take. Collecting
 * garbage is done by other threads and does not count here. Off, it costs nothing and says nothing.
 */
final class CpuMeter {
    /** Whose work it is: the world's around the relays, or one of a relay's own. */
    enum Role {
        WORLD,
        LIST,
        SCOPE,
        BEAT,
        REQS
    }

    private final boolean on;
    private final ThreadMXBean thread = ManagementFactory.getThreadMXBean();
    private final long[] ns = new long[Role.values().length];
    private Role role = Role.WORLD;
    private boolean running;
    private long fromNs;
    private long heapBefore;
    private long heapTaken;

    CpuMeter(boolean on) {
        this.on = on;
    }

    /** What follows is this one's work; returns whose it was until now. */
    Role in(Role next) {
        Role before = role;
        if (running && next != before) {
            long now = thread.getCurrentThreadCpuTime();
            ns[before.ordinal()] += now - fromNs;
            fromNs = now;
        }
        role = next;
        return before;
    }

    /** Times count from now until {@link #stop}. */
    void begin() {
        running = on;
        fromNs = on ? thread.getCurrentThreadCpuTime() : 0;
    }

    void stop() {
        running = false;
    }

    /** Microseconds of processor time since {@link #begin}. */
    double us(Role of) {
        return ns[of.ordinal()] / 1000.0;
    }

    void heapBefore() {
        heapBefore = used();
    }

    void heapAfter() {
        heapTaken = used() - heapBefore;
    }

    /** Bytes of heap taken between the two calls above. */
    long heapTaken() {
        return heapTaken;
    }

    private long used() {
        if (!on) {
            return 0;
        }
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
