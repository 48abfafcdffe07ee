package gatelock.decision;

import java.util.Arrays;

/**
 * The attempts that a canary build may get under its cap, for all routes together or for each. Within any span it allows
 * what was earned in it and a burst: as no more than the burst is ever saved up, no window opens after the requests that
 * earned it have aged out.
 */
final class ExposureBudget {
    private final double burst;
    private final double[] remaining;

    /** So many slots, one a route or one for all; each starts with the whole burst. */
    ExposureBudget(int slots, double burst) {
        this.burst = burst;
        remaining = new double[slots];
        Arrays.fill(remaining, burst);
    }

    /** A request of this route has arrived; the cap is the share of an attempt that it earns. */
    void credit(int route, double cap) {
        int slot = slotOf(route);
        remaining[slot] = Math.min(burst, remaining[slot] + cap);
    }

    /** Whether one more attempt of this route is within the cap. */
    boolean allows(int route) {
        return remaining[slotOf(route)] >= 1;
    }

    void spend(int route) {
        remaining[slotOf(route)] -= 1;
    }

    private int slotOf(int route) {
        return Math.min(route, remaining.length - 1);
    }
}
