package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides on the succession of configuration versions: what to do with a version that is offered, which one is active,
 * which one the control service is told as accepted, and to which ones the operator can roll back. Versions are
 * identified by epoch, number and hash; compiling them is the caller's task.
 *
 * <p>Numbers increase within an epoch. A later epoch is a control service that was rebuilt, and it takes over whatever
 * its numbers; an earlier epoch is an old copy of the service that came back, and its versions are rejected. A number's
 * text never changes: when the same number comes with another text, the accepted one stays.
 */
public final class VersionTracker {
    /** How many rejected texts are remembered by hash, so that the same text is neither compiled nor logged again. */
    private static final int MAX_REMEMBERED_REJECTIONS = 64;
    /** Bound on the bytes of all texts in the history; two versions are kept whatever their size. */
    private static final long MAX_HISTORY_BYTES = 16 << 20;
    /** The versions that are kept whatever their size: the active one and the one before it. */
    private static final int MIN_HISTORY = 2;

    /** What to do with an offered version. The names appear in the log and in the status, in lower case. */
    public enum OfferOutcome {
        /** Compile it, then report the result with {@link #accept} or {@link #reject}. */
        COMPILE,
        /** It is the latest accepted version: acknowledge it again. */
        HELD,
        /** It is older than the latest accepted version: do not apply it. */
        OLDER,
        /** It is from an earlier epoch than the latest accepted version: an old copy of the control service. */
        OLD_EPOCH,
        /** It has the number of the latest accepted version and another text. */
        FORK,
        /** The same text was rejected before: reject it again, without compiling or logging. */
        REFUSED_BEFORE,
        /** The operator has pinned an earlier version. */
        PINNED
    }

    /**
     * One activation of a version.
     *
     * @param version the version
     * @param sinceUs when it was activated, in microseconds of the caller's clock
     * @param reason the source or reason of the activation, for a person
     * @param author the author that the version's text names
     * @param note the author's note in the version's text
     * @param text the version's text, shared and not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent") // Entries are never compared, and texts are too large to copy.
    public record HistoryEntry(
            ConfigVersion version, long sinceUs, String reason, String author, String note, byte[] text) {}

    /** Findings of rejected texts by their hash; the least recently used is dropped first. */
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
    /** The latest version that compiled, active or not: the control service is told this one. */
    private ConfigVersion latestAccepted;

    private ConfigVersion active;
    private boolean pinned;
    private long rejections;
    private final Map<OfferOutcome, Long> offersByOutcome = new EnumMap<>(OfferOutcome.class);

    /**
     * Creates a tracker without any version.
     *
     * @param maxHistory how many activations are kept to roll back to; at least 1
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
        return pinned ? OfferOutcome.PINNED : OfferOutcome.COMPILE;
    }

    /**
     * Accepts a version that compiled and makes it active.
     *
     * @param nowUs the time of the activation
     * @param config the compiled version
     * @param reason the source or reason of the activation, for a person
     * @param text the version's text
     * @return false, with nothing changed, if a later version was accepted or the operator pinned one while this one
     *     was compiled
     */
    public boolean accept(long nowUs, CompiledConfig config, String reason, byte[] text) {
        ConfigVersion version = config.version();
        boolean superseded = latestAccepted != null && !version.isAfter(latestAccepted);
        if (superseded || pinned) {
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
     * @param findings why it is rejected
     * @param permanent whether the text is wrong by itself and is remembered as rejected; false where it is only a
     *     danger beside the active version, and may be fine a minute later
     */
    public void reject(ConfigVersion version, List<Diagnostic> findings, boolean permanent) {
        rejections++;
        if (permanent) {
            rejectedByHash.put(version.hash(), findings);
        }
    }

    /** Returns why the text with that hash was rejected, or an empty list if it is not remembered as rejected. */
    public List<Diagnostic> rejectionFindings(String hash) {
        return rejectedByHash.getOrDefault(hash, List.of());
    }

    /** Returns the latest version that was accepted, active or not, or null before there was one. */
    public ConfigVersion latestAccepted() {
        return latestAccepted;
    }

    /** Returns the active version, or null before there was one. */
    public ConfigVersion active() {
        return active;
    }

    /** Whether the operator has pinned a version. */
    public boolean pinned() {
        return pinned;
    }

    /** Returns how many offers were rejected, repeated ones included. */
    public long rejectionCount() {
        return rejections;
    }

    /** Returns how many offers had each outcome; outcomes that never occurred are missing. */
    public Map<OfferOutcome, Long> offerCounts() {
        return offersByOutcome;
    }

    /** Returns the activations that are kept, the earliest first. */
    public List<HistoryEntry> history() {
        return new ArrayList<>(history);
    }

    /** Returns the latest activation of a version with that number, of whatever epoch, or null if none is kept. */
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
     * Rolls back to an earlier version and pins it: whatever the control service sends is not applied until {@link
     * #unpin}.
     *
     * @param nowUs the time of the activation
     * @param entry the activation to go back to
     * @param reason the operator's reason
     */
    public void pin(long nowUs, HistoryEntry entry, String reason) {
        pinned = true;
        activate(new HistoryEntry(entry.version(), nowUs, reason, entry.author(), entry.note(), entry.text()));
    }

    /** Unpins: the control service's versions are applied again, and its latest one is asked for once more. */
    public void unpin() {
        pinned = false;
        if (active != null && latestAccepted != null && !active.equals(latestAccepted)) {
            // Naming the version before it makes the control service send the one that was rolled back from again.
            latestAccepted = new ConfigVersion(latestAccepted.epoch(), latestAccepted.number() - 1, "");
        }
    }
}
