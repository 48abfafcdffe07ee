package gatelock.fleet;

/** A relay's link to discovery, which transfers messages in order and with limited bandwidth. */
final class DiscoveryLink {
    private final long bytesPerS;
    private long freeAtUs;
    private long lastDeliveryUs;

    /** @param bytesPerS the bandwidth; 0 means unlimited */
    DiscoveryLink(long bytesPerS) {
        this.bytesPerS = bytesPerS;
    }

    /** Replaces the connection by a new one with an empty queue. */
    void reset() {
        freeAtUs = 0;
        lastDeliveryUs = 0;
    }

    /** Queues a message that discovery sends at {@code sentUs} and returns the time at which the relay receives it. */
    long deliver(long bytes, long sentUs) {
        long fromUs = Math.max(sentUs, freeAtUs);
        freeAtUs = bytesPerS == 0 ? fromUs : fromUs + bytes * VirtualClock.SECOND_US / bytesPerS;
        lastDeliveryUs = Math.max(lastDeliveryUs, freeAtUs);
        return lastDeliveryUs;
    }
}
