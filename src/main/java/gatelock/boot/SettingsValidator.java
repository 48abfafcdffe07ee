package gatelock.boot;

import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the settings must say for a relay to serve at all, and within which range. Guards against another
 * deployment's settings that lack something or are spoilt: a default in its place would go unnoticed until it does
 * harm. Could harm where a deployment may leave something out: then it is not demanded here.
 */
final class SettingsValidator {
    /** No time is longer; sums of them still fit. */
    private static final double MOST_NS = 1e15;

    private static final double MOST = 1e12;

    private final Map<String, String> settings;

    private SettingsValidator(Map<String, String> settings) {
        this.settings = settings;
    }

    /** Says the first thing that is wrong: its place, what is there, and what mends it. */
    static void check(Map<String, String> settings) throws IOException {
        SettingsValidator all = new SettingsValidator(settings);
        int routes = all.count("lanes", "write an object for each class of reqs");
        if (routes == 0) {
            throw wrong("lanes", null, "a list with a class in it", "write an object for each class of reqs");
        }
        for (int i = 0; i < routes; i++) {
            String lane = "lanes." + i + ".";
            all.within(lane + "deadlineNs", 1_000, MOST_NS, true, "say how long clients of this class wait, in ns");
            all.within(lane + "targetNs", 1_000, MOST_NS, true, "say by when an answer has its full worth, in ns");
            all.within(lane + "keyTtlNs", 0, MOST_NS, false, "say how long units know a repeat, in ns");
            all.within(lane + "worth", 0, MOST, false, "say what an answer is worth");
            if (!settings.containsKey(lane + "effect")) {
                throw wrong(lane + "effect", null, "repeatable, by_key or once", "say whether reqs may be repeated");
            }
        }
        all.named("lanes", routes);
        int tenants = all.count("orgs", "write an object for each tenant");
        for (int i = 0; i < tenants; i++) {
            all.within("orgs." + i + ".quotaPerS", 0, MOST, false, "say how many reqs a second are the tenant's");
        }
        all.named("orgs", tenants);
        all.within("replicasOfMe", 1, MOST, false, "say how many relays there are");
        for (String time : new String[] {
            "limits.dialTimeoutNs",
            "limits.connIdleNs",
            "limits.maxRetryAfterNs",
            "safety.stopSendingWithinNs",
            "safety.warmWithinNs",
            "safety.fallNs",
            "familyInfo.bakeNs",
            "familyInfo.voteLifeNs",
            "familyInfo.voteWaitNs",
            "familyInfo.countedOverNs"
        }) {
            all.within(time, 0, MOST_NS, false, "give a time in ns, or leave it out");
        }
        for (String count : new String[] {
            "limits.tryLimit",
            "familyInfo.free",
            "familyInfo.apiRate",
            "familyInfo.toAbort",
            "safety.overloadFactor",
            "costs.handshake",
            "overShareWorth"
        }) {
            all.within(count, 0, MOST, false, "give a number from 0 on, or leave it out");
        }
        all.within("safety.coldFrom", 0, 1, false, "give the part of its speed that a unit starts with");
    }

    private int count(String list, String mend) throws IOException {
        String count = settings.get(list + ".count");
        if (count == null && settings.containsKey(list) && !settings.get(list).isEmpty()) {
            throw wrong(list, settings.get(list), "a list of objects", mend);
        }
        return count == null ? 0 : Integer.parseInt(count);
    }

    /** Each has a name, and one of its own. */
    private void named(String list, int count) throws IOException {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            String at = list + "." + i + ".name";
            String name = settings.get(at);
            if (name == null || name.isEmpty() || !names.add(name)) {
                throw wrong(at, name, "a name of its own", "name each once");
            }
        }
    }

    private void within(String at, double least, double most, boolean must, String mend) throws IOException {
        String text = settings.get(at);
        if (text == null || text.equals("-")) {
            if (must) {
                throw wrong(at, null, "a number from " + (long) least + " to " + (long) most, mend);
            }
            return;
        }
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (!(value >= least && value <= most)) {
            throw wrong(at, text, "a number from " + (long) least + " to " + (long) most, mend);
        }
    }

    private static IOException wrong(String at, String found, String expected, String mend) {
        return new IOException("settings." + at.replaceAll("\\.(\\d+)\\.", "[$1].") + ": expected " + expected
                + ", found " + (found == null ? "nothing" : found) + "; " + mend);
    }
}
