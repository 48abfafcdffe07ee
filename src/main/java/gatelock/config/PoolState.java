package gatelock.config;

/** The state of one pool of the active version: its recent peak of ready endpoints, and whether its fallback serves. */
final class PoolState {
    /** The time constant with which the recent peak decays to the current count after endpoints are lost for good. */
    private static final double PEAK_TIME_CONSTANT_US = 300e6;
    /**
     * A pool in fallback serves again only when its ready endpoints reach this factor times the minimum; this
     * hysteresis avoids flapping around the minimum.
     */
    private static final double RECOVERY_FACTOR = 1.1;

    private final Pool pool;
    private final int selectorIndex;
    /** The recent peak of ready endpoints: rises immediately with the current count and decays towards it. */
    private double recentPeakReady;

    private long updatedUs;
    private boolean usingFallback;

    /** Creates the state of a pool without any history. */
    PoolState(Pool pool, int selectorIndex) {
        this.pool = pool;
        this.selectorIndex = selectorIndex;
    }

    /** Takes over the state that the same pool had in the previous version. */
    void inherit(long nowUs, PoolState previous, int previousReady) {
        previous.updateRecentPeak(nowUs, previousReady);
        recentPeakReady = previous.recentPeakReady;
        updatedUs = nowUs;
        usingFallback = previous.usingFallback;
    }

    /** Returns the definition of the pool. */
    Pool pool() {
        return pool;
    }

    /** Returns the index of the pool's selection criteria in {@link CompiledConfig#selectors()}. */
    int selectorIndex() {
        return selectorIndex;
    }

    /**
     * Updates the recent peak of ready endpoints.
     *
     * @param nowUs the current time
     * @param ready number of endpoints that are ready now, or were ready until now
     */
    void updateRecentPeak(long nowUs, int ready) {
        double decay = nowUs > updatedUs ? Math.exp((updatedUs - nowUs) / PEAK_TIME_CONSTANT_US) : 1;
        recentPeakReady = Math.max(ready, ready + (recentPeakReady - ready) * decay);
        updatedUs = nowUs;
    }

    /** Decides from the number of ready endpoints whether the fallback serves; returns true if it does. */
    boolean updateFallback(long nowUs, int ready) {
        updateRecentPeak(nowUs, ready);
        double requiredReady = pool.minReadyShare() * recentPeakReady;
        if (usingFallback) {
            requiredReady = Math.min(recentPeakReady, requiredReady * RECOVERY_FACTOR);
        }
        usingFallback = ready == 0 || ready < requiredReady;
        return usingFallback;
    }
}
