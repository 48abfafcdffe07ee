package gatelock.decision;

import java.util.Arrays;

/**
 * The number of attempts that a canary build may receive under its cap, for all routes together or for each route. In
 * any period it allows the attempts credited in that period plus a burst. As unused credit never exceeds the burst,
 * requests that have left a window cannot pay for further attempts in it.
 */
final class ExposureBudget {
    private final double burst;
    private final double[] remaining;

    /**
     * Creates a budget with the full burst in each slot; there is one slot per route, or a single one for all routes.
     */
    ExposureBudget(int slots, double burst) {
        this.burst = burst;
        remaining = new double[slots];
        Arrays.fill(remaining, burst);
    }

    /** Credits an arrived request of this route; {@code cap} is the share of an attempt that it adds. */
    void credit(int route, double cap) {
        int slot = slotOf(route);
        remaining[slot] = Math.min(burst, remaining[slot] + cap);
    }

    /** Whether one more attempt on this route is within the cap. */
    boolean allows(int route) {
        return remaining[slotOf(route)] >= 1;
    }

    /** Charges one attempt on this route. */
    void spend(int route) {
        remaining[slotOf(route)] -= 1;
    }

    private int slotOf(int route) {
        return Math.min(route, remaining.length - 1);
    }
}
