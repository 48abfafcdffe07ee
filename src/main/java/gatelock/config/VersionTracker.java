package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks configuration versions and decides what to do with an offered version, which version is active, which one is
 * reported to the control service as accepted, and which ones the operator can roll back to. Versions are identified by
 * epoch, number and hash; compiling them is the caller's task.
 *
 * <p>Numbers increase within an epoch. A later epoch belongs to a control service that was rebuilt, and its versions
 * take precedence whatever their numbers. An earlier epoch belongs to an old copy of the service that came back, and
 * its versions are rejected. The text of a number never changes: if the same number is offered with another text, the
 * accepted version stays.
 */
public final class VersionTracker {
    /** The number of rejected texts remembered by hash, so that the same text is neither compiled nor logged again. */
    private static final int MAX_REMEMBERED_REJECTIONS = 64;
    /**
     * Bound on the total size of the texts in the history; does not apply to the last {@link #MIN_HISTORY} versions.
     */
    private static final long MAX_HISTORY_BYTES = 16 << 20;
    /** The number of versions kept whatever their size: the active version and the one before it. */
    private static final int MIN_HISTORY = 2;

    /**
     * What to do with an offered version. The names are sent to the control service and appear in the log and the
     * status, so they must not change.
     */
    public enum OfferOutcome {
        /** Compile it, then report the result with {@link #accept} or {@link #reject}. */
        COMPILE,
        /** It is the latest accepted version; acknowledge it again. */
        HELD,
        /** It has a lower number than the latest accepted version; do not apply it. */
        OLDER,
        /**
         * It has an earlier epoch than the latest accepted version, so it comes from an old copy of the control
         * service.
         */
        OLD_EPOCH,
        /** It has the number of the latest accepted version but a different text. */
        FORK,
        /** The same text was rejected before; reject it again without compiling or logging. */
        REFUSED_BEFORE,
        /** The operator has pinned a version; do not apply any other. */
        PINNED
    }

    /**
     * One activation of a version.
     *
     * @param version the version
     * @param activatedUs when it was activated, in microseconds of the caller's clock
     * @param reason human-readable source of or reason for the activation
     * @param author the author named in the version's text
     * @param note the author's note in the version's text
     * @param text the version's text; shared, so it must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent") // Entries are never compared, and texts are too large to copy.
    public record HistoryEntry(
            ConfigVersion version, long activatedUs, String reason, String author, String note, byte[] text) {}

    /** The diagnostics of rejected texts by hash; the least recently used entry is evicted first. */
    private final Map<String, List<Diagnostic>> rejectedByHash = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Diagnostic>> eldest) {
            return size() > MAX_REMEMBERED_REJECTIONS;
        }
    };

    private final Deque<HistoryEntry> history = new ArrayDeque<>();
    private final int maxHistory;
    private long historyBytes;
    /** The latest accepted version, active or not; this one is reported to the control service. */
    private ConfigVersion latestAccepted;

    private ConfigVersion active;
    private boolean isPinned;
    private long rejections;
    private final Map<OfferOutcome, Long> offersByOutcome = new EnumMap<>(OfferOutcome.class);

    /**
     * Creates a tracker without any version.
     *
     * @param maxHistory the maximum number of activations kept for rollback; at least 1
     */
    public VersionTracker(int maxHistory) {
        this.maxHistory = Math.max(1, maxHistory);
    }

    /** Decides what to do with an offered version, and counts the decision. */
    public OfferOutcome evaluateOffer(ConfigVersion version) {
        OfferOutcome outcome = evaluate(version);
        offersByOutcome.merge(outcome, 1L, Long::sum);
        return outcome;
    }

    private OfferOutcome evaluate(ConfigVersion version) {
        if (latestAccepted != null) {
            int epochOrder = version.epoch().compareTo(latestAccepted.epoch());
            if (epochOrder < 0) {
                return OfferOutcome.OLD_EPOCH;
            }
            if (epochOrder == 0 && version.number() < latestAccepted.number()) {
                return OfferOutcome.OLDER;
            }
            if (epochOrder == 0 && version.number() == latestAccepted.number()) {
                return version.hash().equals(latestAccepted.hash()) ? OfferOutcome.HELD : OfferOutcome.FORK;
            }
        }
        if (rejectedByHash.containsKey(version.hash())) {
            rejections++;
            return OfferOutcome.REFUSED_BEFORE;
        }
        return isPinned ? OfferOutcome.PINNED : OfferOutcome.COMPILE;
    }

    /**
     * Accepts a version that compiled and makes it active.
     *
     * @param nowUs the time of the activation
     * @param config the compiled version
     * @param reason human-readable source of or reason for the activation
     * @param text the version's text
     * @return false, without any change, if a later version was accepted or the operator pinned a version while this
     *     one was being compiled
     */
    public boolean accept(long nowUs, CompiledConfig config, String reason, byte[] text) {
        ConfigVersion version = config.version();
        boolean superseded = latestAccepted != null && !version.isAfter(latestAccepted);
        if (superseded || isPinned) {
            return false;
        }
        latestAccepted = version;
        activate(new HistoryEntry(version, nowUs, reason, config.author(), config.note(), text));
        return true;
    }

    private void activate(HistoryEntry entry) {
        active = entry.version();
        history.addLast(entry);
        historyBytes += entry.text().length;
        while (history.size() > maxHistory || (history.size() > MIN_HISTORY && historyBytes > MAX_HISTORY_BYTES)) {
            historyBytes -= history.removeFirst().text().length;
        }
    }

    /**
     * Rejects a version.
     *
     * @param version the version that was offered
     * @param diagnostics why it is rejected
     * @param permanent true if the text itself is invalid and is remembered as rejected; false if only the change from
     *     the active version is dangerous, which may no longer be the case a minute later
     */
    public void reject(ConfigVersion version, List<Diagnostic> diagnostics, boolean permanent) {
        rejections++;
        if (permanent) {
            rejectedByHash.put(version.hash(), diagnostics);
        }
    }

    /** Returns the diagnostics with which a text was rejected, or an empty list if its hash is not remembered. */
    public List<Diagnostic> rejectionDiagnostics(String hash) {
        return rejectedByHash.getOrDefault(hash, List.of());
    }

    /** Returns the latest accepted version, active or not, or null if none has been accepted yet. */
    public ConfigVersion latestAccepted() {
        return latestAccepted;
    }

    /** Returns the active version, or null if none has been activated yet. */
    public ConfigVersion active() {
        return active;
    }

    /** Returns whether the operator has pinned a version. */
    public boolean isPinned() {
        return isPinned;
    }

    /** Returns the number of rejected offers, including repeated ones. */
    public long rejectionCount() {
        return rejections;
    }

    /** Returns the number of offers by outcome; outcomes that never occurred are absent. */
    public Map<OfferOutcome, Long> offerCounts() {
        return offersByOutcome;
    }

    /** Returns the activations in the history, the earliest first. */
    public List<HistoryEntry> history() {
        return new ArrayList<>(history);
    }

    /** Returns the latest activation in the history of a version with that number, of any epoch, or null if none is. */
    public HistoryEntry findInHistory(long number) {
        HistoryEntry latest = null;
        for (HistoryEntry entry : history) {
            if (entry.version().number() == number) {
                latest = entry;
            }
        }
        return latest;
    }

    /**
     * Rolls back to an earlier version and pins it: versions from the control service are not applied until {@link
     * #unpin}.
     *
     * @param nowUs the time of the activation
     * @param entry the activation to roll back to
     * @param reason the operator's reason
     */
    public void pin(long nowUs, HistoryEntry entry, String reason) {
        isPinned = true;
        activate(new HistoryEntry(entry.version(), nowUs, reason, entry.author(), entry.note(), entry.text()));
    }

    /** Ends a rollback: versions from the control service are applied again, and its latest one is requested again. */
    public void unpin() {
        isPinned = false;
        if (active != null && latestAccepted != null && !active.equals(latestAccepted)) {
            // Reporting the preceding number makes the control service send the version that was rolled back again.
            latestAccepted = new ConfigVersion(latestAccepted.epoch(), latestAccepted.number() - 1, "");
        }
    }
}
