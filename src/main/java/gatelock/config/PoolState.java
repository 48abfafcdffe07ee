package gatelock.config;

/** The state of one pool of the active version: how many endpoints it recently had, and whether its fallback serves. */
final class PoolState {
    /** How long it takes until a pool that lost endpoints for good is measured by those it has. */
    private static final double USUAL_TIME_CONSTANT_US = 300e6;
    /** A pool serves again only with so many times the least share, so that it does not flap at the bound. */
    private static final double RECOVERY_FACTOR = 1.1;

    private final Pool pool;
    private final int selectorIndex;
    /** The ready endpoints that the pool recently had: rises at once and decays to what it has. */
    private double usualReady;

    private long updatedUs;
    private boolean fallenBack;

    PoolState(Pool pool, int selectorIndex) {
        this.pool = pool;
        this.selectorIndex = selectorIndex;
    }

    /** Takes over the state of the same pool in the version before. */
    void inherit(long nowUs, PoolState previous, int previousReady) {
        previous.updateUsualReady(nowUs, previousReady);
        usualReady = previous.usualReady;
        updatedUs = nowUs;
        fallenBack = previous.fallenBack;
    }

    Pool pool() {
        return pool;
    }

    /** Returns the index of the pool's selection criteria in {@link CompiledConfig#selectors()}. */
    int selectorIndex() {
        return selectorIndex;
    }

    /** Updates how many endpoints the pool recently had; {@code ready} are ready now, or were until now. */
    void updateUsualReady(long nowUs, int ready) {
        double decay = nowUs > updatedUs ? Math.exp((updatedUs - nowUs) / USUAL_TIME_CONSTANT_US) : 1;
        usualReady = Math.max(ready, ready + (usualReady - ready) * decay);
        updatedUs = nowUs;
    }

    /** Decides with so many ready endpoints whether the pool serves itself or its fallback does. */
    boolean updateFallback(long nowUs, int ready) {
        updateUsualReady(nowUs, ready);
        double requiredReady = pool.minReadyShare() * usualReady;
        if (fallenBack) {
            requiredReady = Math.min(usualReady, requiredReady * RECOVERY_FACTOR);
        }
        fallenBack = ready == 0 || ready < requiredReady;
        return fallenBack;
    }
}
