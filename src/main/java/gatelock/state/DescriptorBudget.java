package gatelock.state;

/**
 * Divides the file descriptors of the process among the client connections for requests, the connections to endpoints,
 * sessions, of which each takes one of either, and a fifth for everything else.
 *
 * @param maxDescriptors the maximum number of file descriptors of the process
 */
public record DescriptorBudget(int maxDescriptors) {
    /** Returns the number of client connections for requests above which idle ones are evicted. */
    public int softClientLimit() {
        return maxDescriptors / 4;
    }

    /**
     * Returns the number of client connections for requests above which any one without a complete request is evicted.
     * It is never smaller than a third of the descriptors, which clients may hold for requests.
     *
     * @param sessions the number of open sessions
     */
    public int hardClientLimit(int sessions) {
        return Math.max(maxDescriptors / 3, maxDescriptors * 2 / 5 - sessions);
    }

    /**
     * Returns the number of connections to endpoints, without those of sessions, above which idle ones are closed.
     *
     * @param sessions the number of open sessions
     */
    public int endpointConnections(int sessions) {
        return maxDescriptors * 4 / 5 - hardClientLimit(sessions) - 2 * sessions;
    }
}
