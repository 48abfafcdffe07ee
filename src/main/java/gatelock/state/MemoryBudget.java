package gatelock.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the bytes that the requests and responses of all clients hold together. A holder of little is always granted, so
 * that ordinary requests are served whatever others hold. For a larger amount room is made by reclaiming from the oldest
 * holders that allow it; if that does not suffice, the amount is refused.
 */
public final class MemoryBudget {
    /** The amount that is always granted to one holder: an ordinary request with its response. */
    static final int SMALL_BYTES = 8 * 1024;

    /** The heap that a relay without requests uses, mostly for the endpoint list and the history of outcomes. */
    private static final long BASE_HEAP_BYTES = 10L << 20;

    private static final long MIN_BYTES = 1L << 20;
    /** The rest of the heap is for what each request needs for a moment, and for garbage. */
    private static final int HEAP_SHARE_DIVISOR = 3;

    private final Counters counters;
    private final long maxBytes;
    private long heldBytes;
    /** The holders of more than a little that can be reclaimed, in the order in which they came to hold that much. */
    private final Set<Holder> reclaimable = new LinkedHashSet<>();

    /**
     * Creates a budget of which nothing is held.
     *
     * @param counters counts the amounts that are reclaimed and refused
     * @param maxBytes the limit for all holders together
     */
    public MemoryBudget(Counters counters, long maxBytes) {
        this.counters = counters;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns the part of a heap that requests and responses may hold.
     *
     * @param maxHeapBytes the maximum size of the heap
     */
    public static long shareOfHeap(long maxHeapBytes) {
        return Math.max(MIN_BYTES, (maxHeapBytes - BASE_HEAP_BYTES) / HEAP_SHARE_DIVISOR);
    }

    /** Returns the bytes that are held now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the limit for all holders together. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns a new holder, which holds nothing. */
    public Holder newHolder() {
        return new Holder();
    }

    private boolean makeRoom(Holder holder, long additionalBytes) {
        Iterator<Holder> oldest = reclaimable.iterator();
        while (heldBytes + additionalBytes > maxBytes && oldest.hasNext()) {
            Holder candidate = oldest.next();
            if (candidate != holder) {
                oldest.remove();
                counters.increment("memory reclaimed");
                candidate.reclaim();
            }
        }
        return heldBytes + additionalBytes <= maxBytes;
    }

    /** What one client connection holds. */
    public final class Holder {
        private long bytes;
        private Runnable onReclaim;

        private Holder() {}

        /**
         * Changes the number of bytes held, unless there is no room for them.
         *
         * @param newBytes the bytes to hold from now on, in place of those held before
         * @param reclaimer releases the bytes early and ends what needs them; null if they are needed until the end
         * @return whether the bytes may be held; otherwise nothing has changed
         */
        public boolean tryHold(long newBytes, Runnable reclaimer) {
            if (newBytes > SMALL_BYTES && newBytes > bytes && !makeRoom(this, newBytes - bytes)) {
                counters.increment("memory refused");
                return false;
            }
            hold(newBytes, reclaimer);
            return true;
        }

        /** Changes the number of bytes held, whether or not there is room for them. */
        public void hold(long newBytes, Runnable reclaimer) {
            heldBytes += newBytes - bytes;
            bytes = newBytes;
            onReclaim = reclaimer;
            if (newBytes > SMALL_BYTES && reclaimer != null) {
                reclaimable.add(this);
            } else {
                reclaimable.remove(this);
            }
        }

        /** Returns the bytes held. */
        public long bytes() {
            return bytes;
        }

        /** Ends the hold. */
        public void release() {
            hold(0, null);
        }

        private void reclaim() {
            Runnable reclaimer = onReclaim;
            hold(0, null);
            reclaimer.run();
        }
    }
}
