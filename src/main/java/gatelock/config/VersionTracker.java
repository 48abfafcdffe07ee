package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which versions follow one another: what a version that has come is to be met with, which is in force, which
 * one is
 * to be told to the control service as held, and what may be gone back to. It knows texts only by their hash;
 * compiling
 * is the caller's.
 *
 * <p>Numbers go up within an epoch. An epoch that is later than the one held is a control service built anew,
 * an
 * earlier one an old copy that came back: it is turned down. Of two texts with one number of one epoch the
 * one
 * held stays.
 */
public final class VersionTracker {
    /** Refused texts are remembered, so that the same one again is neither compiled nor logged. */
    private static final int MOST_REFUSED = 64;
    /** Of all texts kept to go back to; two are kept whatever their size. */
    private static final long MOST_PAST_BYTES = 16 << 20;

    /** What to do with a version that has come. */
    public enum Meeting {
        /** Compile it; then {@link #good} or {@link #bad}. */
        COMPILE,
        /** It is the one held: told again that it is. */
        HELD,
        /** Older than the one held: not applied. */
        OLDER,
        /** Of an epoch before the one held: an old copy of the control service. */
        OLD_EPOCH,
        /** Another text under the number of the one held. */
        FORK,
        /** This text was turned down before: turned down again, and nothing else is done. */
        REFUSED_BEFORE,
        /** The operator keeps an earlier version in force. */
        PINNED
    }

    /** One version that was in force: since when, from where, whose it is and why it was made. */
    public record Past(ConfigVersion stamp, long sinceUs, String why, String by, String note, byte[] text) {}

    private final Map<String, List<Diagnostic>> refused = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Diagnostic>> eldest) {
            return size() > MOST_REFUSED;
        }
    };
    private final Deque<Past> past = new ArrayDeque<>();
    private final int mostPast;
    private long pastBytes;
    /** The latest that was good, whether in force or not: what the control service is told as held. */
    private ConfigVersion held;

    private ConfigVersion inForce;
    private boolean pinned;
    private long refusals;
    private final Map<Meeting, Long> met = new java.util.EnumMap<>(Meeting.class);

    /** @param mostPast versions that were in force, kept to go back to */
    public VersionTracker(int mostPast) {
        this.mostPast = Math.max(1, mostPast);
    }

    /** A version has come: what to do with it. */
    public Meeting offered(ConfigVersion stamp) {
        Meeting meeting = meet(stamp);
        met.merge(meeting, 1L, Long::sum);
        return meeting;
    }

    private Meeting meet(ConfigVersion stamp) {
        if (held != null) {
            int epoch = stamp.epoch().compareTo(held.epoch());
            if (epoch < 0) {
                return Meeting.OLD_EPOCH;
            }
            if (epoch == 0 && stamp.number() < held.number()) {
                return Meeting.OLDER;
            }
            if (epoch == 0 && stamp.number() == held.number()) {
                return stamp.hash().equals(held.hash()) ? Meeting.HELD : Meeting.FORK;
            }
        }
        if (refused.containsKey(stamp.hash())) {
            refusals++;
            return Meeting.REFUSED_BEFORE;
        }
        return pinned ? Meeting.PINNED : Meeting.COMPILE;
    }

    /**
     * It was good and is in force from now on. False where a later one came in force while it was compiled:
     * then it is
     * not.
     */
    public boolean good(long nowUs, CompiledConfig plan, String why, byte[] text) {
        ConfigVersion stamp = plan.stamp();
        if (held != null
                        && (stamp.epoch().compareTo(held.epoch()) < 0
                                || stamp.epoch().equals(held.epoch()) && stamp.number() <= held.number())
                || pinned) {
            return false;
        }
        held = stamp;
        inForce(new Past(stamp, nowUs, why, plan.by(), plan.note(), text));
        return true;
    }

    private void inForce(Past now) {
        inForce = now.stamp();
        past.addLast(now);
        pastBytes += now.text().length;
        while (past.size() > mostPast || past.size() > 2 && pastBytes > MOST_PAST_BYTES) {
            pastBytes -= past.removeFirst().text().length;
        }
    }

    /**
     * It was turned down. What is a danger only beside the version in force may be offered again: it is not
     * kept.
     */
    public void bad(ConfigVersion stamp, List<Diagnostic> findings, boolean always) {
        refusals++;
        if (always) {
            refused.put(stamp.hash(), findings);
        }
    }

    /** Why a text was turned down before. */
    public List<Diagnostic> refused(String hash) {
        return refused.getOrDefault(hash, List.of());
    }

    /** The latest good version that this relay has had, or null. */
    public ConfigVersion held() {
        return held;
    }

    public ConfigVersion inForce() {
        return inForce;
    }

    public boolean pinned() {
        return pinned;
    }

    public long refusals() {
        return refusals;
    }

    /** How often versions were met in each way. */
    public Map<Meeting, Long> met() {
        return met;
    }

    /** What was in force, the earliest first. */
    public List<Past> history() {
        return new ArrayList<>(past);
    }

    /** The latest text of that number that was in force, in the epoch held or any before; or null. */
    public Past past(long number) {
        Past found = null;
        for (Past p : past) {
            found = p.stamp().number() == number ? p : found;
        }
        return found;
    }

    /**
     * The operator goes back to an earlier version and keeps it, whatever the control service sends, until
     * released.
     */
    public void pin(long nowUs, Past to, String why) {
        pinned = true;
        inForce(new Past(to.stamp(), nowUs, why, to.by(), to.note(), to.text()));
    }

    /** The operator lets the control service lead again: its latest version may come once more. */
    public void release() {
        pinned = false;
        // What was good once may be asked for again.
        held = inForce != null && held != null && !inForce.equals(held) ? before(held) : held;
    }

    private static ConfigVersion before(ConfigVersion stamp) {
        return new ConfigVersion(stamp.epoch(), stamp.number() - 1, "");
    }
}
