package gatelock.fleet;

/** A relay's link to discovery, which carries messages in order and at a limited bandwidth. */
final class DiscoveryLink {
    private final long bytesPerS;
    private long freeAtUs;
    private long lastDeliveryUs;

    /** @param bytesPerS bandwidth; 0: unlimited */
    DiscoveryLink(long bytesPerS) {
        this.bytesPerS = bytesPerS;
    }

    /** The connection is new: nothing is queued on it. */
    void reset() {
        freeAtUs = 0;
        lastDeliveryUs = 0;
    }

    /** Queues a message that discovery sends at a time; returns when the relay has received it. */
    long deliver(long bytes, long sentUs) {
        long fromUs = Math.max(sentUs, freeAtUs);
        freeAtUs = bytesPerS == 0 ? fromUs : fromUs + bytes * VirtualClock.SECOND_US / bytesPerS;
        lastDeliveryUs = Math.max(lastDeliveryUs, freeAtUs);
        return lastDeliveryUs;
    }
}
