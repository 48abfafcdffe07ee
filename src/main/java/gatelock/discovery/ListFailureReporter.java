package gatelock.discovery;

import gatelock.state.Counters;
import java.lang.System.Logger.Level;

/** Counts the polls that brought no usable list, and logs each cause once until a list has been accepted again. */
final class ListFailureReporter {
    private static final System.Logger LOG = System.getLogger("gatelock.discovery");
    private static final String TOO_LONG = "too long";

    private final Counters counters;
    private final boolean subset;
    /** Why the last list was not accepted, null where it was. */
    private String lastReason;

    private long tooLongCount;

    /**
     * Creates the reporter of one client.
     *
     * @param subset whether this relay uses a subset of the endpoints, which has a size limit of its own
     */
    ListFailureReporter(Counters counters, boolean subset) {
        this.counters = counters;
        this.subset = subset;
    }

    /** Notes a list that was accepted: whatever is wrong with the next one is logged again. */
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

    /** Reports a poll without any list. */
    void silent() {
        counters.increment("discovery failed");
    }

    /** Reports a list that is longer than is accepted, and how to have it accepted. */
    void tooLong(String reason) {
        counters.increment("lists too long");
        tooLongCount++;
        if (!TOO_LONG.equals(lastReason)) {
            String remedy = subset
                    ? "raise membership.mostListBytes in the operator's file"
                    : "name a scope (membership) in the operator's file";
            LOG.log(
                    Level.WARNING,
                    "discovery's list is too long: " + reason + ", last good list kept; " + remedy
                            + ", or have fewer endpoints listed");
            lastReason = TOO_LONG;
        }
    }

    /** Logs that the relay stops waiting for a first list and serves without one. */
    void logServingConfigured(String failure) {
        LOG.log(Level.WARNING, failure + ", serving the configured endpoints");
    }

    /** Logs the state after a full list. */
    void logState(DiscoveryClient.ListStatus state) {
        LOG.log(Level.INFO, state.toString());
    }

    /** Returns how many lists were too long so far. */
    long tooLongCount() {
        return tooLongCount;
    }
}
