package gatelock.discovery;

import gatelock.state.Counters;
import java.lang.System.Logger.Level;

/**
 * Counts the polls that brought no usable list. Logs each cause once, and again only after a list has been accepted.
 */
final class ListFailureReporter {
    private static final System.Logger LOG = System.getLogger("gatelock.discovery");
    private static final String TOO_LONG = "too long";

    private final Counters counters;
    private final boolean usesSubset;
    /** The reason why the last list was rejected, or null if it was accepted. */
    private String lastReason;

    private long tooLongCount;

    /**
     * Creates the reporter of one client.
     *
     * @param usesSubset whether this relay uses a subset of the endpoints, for which a separate size limit applies
     */
    ListFailureReporter(Counters counters, boolean usesSubset) {
        this.counters = counters;
        this.usesSubset = usesSubset;
    }

    /** Records that a list was accepted, so that the next failure is logged again. */
    void accepted() {
        lastReason = null;
    }

    /** Reports a malformed list. */
    void rejected(String reason) {
        if (!reason.equals(lastReason)) {
            LOG.log(Level.WARNING, "endpoint list rejected, last good list kept: " + reason);
            lastReason = reason;
        }
        counters.increment("discovery failed");
    }

    /** Reports a poll that brought no list. */
    void notReceived() {
        counters.increment("discovery failed");
    }

    /** Reports a list that exceeds the size limit, and logs how the limit can be met. */
    void tooLong(String reason) {
        counters.increment("lists too long");
        tooLongCount++;
        if (!TOO_LONG.equals(lastReason)) {
            String remedy = usesSubset
                    ? "raise membership.mostListBytes in the operator's file"
                    : "name a scope (membership) in the operator's file";
            LOG.log(
                    Level.WARNING,
                    "discovery's list is too long: " + reason + ", last good list kept; " + remedy
                            + ", or have fewer endpoints listed");
            lastReason = TOO_LONG;
        }
    }

    /** Logs that the relay stops waiting for the first list and serves the configured endpoints. */
    void logServingConfiguredEndpoints(String failure) {
        LOG.log(Level.WARNING, failure + ", serving the configured endpoints");
    }

    /** Logs the status after a full list has been applied. */
    void logStatus(DiscoveryClient.ListStatus status) {
        LOG.log(Level.INFO, status.toString());
    }

    /** Returns the number of lists so far that were too long. */
    long tooLongCount() {
        return tooLongCount;
    }
}
