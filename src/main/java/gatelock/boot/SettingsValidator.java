package gatelock.boot;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that the settings hold what a relay can't serve without, and that each value is within its range.
 *
 * <p>Guards against another deployment's settings that lack something or are damaged: a default in its place would
 * go unnoticed until it does harm. Could do harm where a deployment may leave something out: then it is not
 * required here.
 */
final class SettingsValidator {
    /** The shortest time that a request may be given, in nanoseconds: a microsecond. */
    private static final double MIN_REQUEST_NS = 1_000;
    /** No time is longer, in nanoseconds; sums of such times still fit a long. */
    private static final double MAX_NS = 1e15;

    private static final double MAX_NUMBER = 1e12;

    private static final String ADD_CLASSES = "write an object for each class of reqs";

    private static final List<String> OPTIONAL_TIMES = List.of(
            "limits.dialTimeoutNs",
            "limits.connIdleNs",
            "limits.maxRetryAfterNs",
            "safety.stopSendingWithinNs",
            "safety.warmWithinNs",
            "safety.fallNs",
            "familyInfo.bakeNs",
            "familyInfo.voteLifeNs",
            "familyInfo.voteWaitNs",
            "familyInfo.countedOverNs");

    private static final List<String> OPTIONAL_NUMBERS = List.of(
            "limits.tryLimit",
            "familyInfo.free",
            "familyInfo.apiRate",
            "familyInfo.toAbort",
            "safety.overloadFactor",
            "costs.handshake",
            "overShareWorth");

    private final Map<String, String> settings;

    private SettingsValidator(Map<String, String> settings) {
        this.settings = settings;
    }

    /**
     * Checks all settings.
     *
     * @param settings the settings as path=value pairs
     * @throws InvalidSettingException for the first setting that is wrong
     */
    static void validate(Map<String, String> settings) throws InvalidSettingException {
        SettingsValidator validator = new SettingsValidator(settings);
        validator.validateRoutes();
        validator.validateTenants();
        validator.validateScalars();
    }

    private void validateRoutes() throws InvalidSettingException {
        int routes = count("lanes", ADD_CLASSES);
        if (routes == 0) {
            throw new InvalidSettingException("lanes", null, "a list with a class in it", ADD_CLASSES);
        }
        for (int i = 0; i < routes; i++) {
            String lane = "lanes." + i + ".";
            requireInRange(
                    lane + "deadlineNs", MIN_REQUEST_NS, MAX_NS, "say how long clients of this class wait, in ns");
            requireInRange(
                    lane + "targetNs", MIN_REQUEST_NS, MAX_NS, "say by when an answer has its full worth, in ns");
            checkInRange(lane + "keyTtlNs", 0, MAX_NS, "say how long units know a repeat, in ns");
            checkInRange(lane + "worth", 0, MAX_NUMBER, "say what an answer is worth");
            if (!settings.containsKey(lane + "effect")) {
                throw new InvalidSettingException(
                        lane + "effect", null, "repeatable, by_key or once", "say whether reqs may be repeated");
            }
        }
        validateNames("lanes", routes);
    }

    private void validateTenants() throws InvalidSettingException {
        int tenants = count("orgs", "write an object for each tenant");
        for (int i = 0; i < tenants; i++) {
            checkInRange("orgs." + i + ".quotaPerS", 0, MAX_NUMBER, "say how many reqs a second are the tenant's");
        }
        validateNames("orgs", tenants);
    }

    private void validateScalars() throws InvalidSettingException {
        checkInRange("replicasOfMe", 1, MAX_NUMBER, "say how many relays there are");
        for (String time : OPTIONAL_TIMES) {
            checkInRange(time, 0, MAX_NS, "give a time in ns, or leave it out");
        }
        for (String number : OPTIONAL_NUMBERS) {
            checkInRange(number, 0, MAX_NUMBER, "give a number from 0 on, or leave it out");
        }
        checkInRange("safety.coldFrom", 0, 1, "give the part of its speed that a unit starts with");
    }

    /** How many objects a list holds; 0 where it is absent or empty. */
    private int count(String list, String remedy) throws InvalidSettingException {
        String count = settings.get(list + ".count");
        if (count != null) {
            return Integer.parseInt(count);
        }
        String plainValue = settings.getOrDefault(list, "");
        if (!plainValue.isEmpty()) {
            throw new InvalidSettingException(list, plainValue, "a list of objects", remedy);
        }
        return 0;
    }

    /** Each object of a list must have a name that no other one has. */
    private void validateNames(String list, int count) throws InvalidSettingException {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            String path = list + "." + i + ".name";
            String name = settings.get(path);
            if (name == null || name.isEmpty() || !names.add(name)) {
                throw new InvalidSettingException(path, name, "a name of its own", "name each once");
            }
        }
    }

    private void requireInRange(String path, double min, double max, String remedy) throws InvalidSettingException {
        if (isAbsent(path)) {
            throw new InvalidSettingException(path, null, range(min, max), remedy);
        }
        checkInRange(path, min, max, remedy);
    }

    /** A setting that is absent passes. */
    private void checkInRange(String path, double min, double max, String remedy) throws InvalidSettingException {
        if (isAbsent(path)) {
            return;
        }
        String text = settings.get(path);
        double value = parseOrNaN(text);
        boolean inRange = value >= min && value <= max;
        if (!inRange) {
            throw new InvalidSettingException(path, text, range(min, max), remedy);
        }
    }

    private boolean isAbsent(String path) {
        String text = settings.get(path);
        return text == null || text.equals("-");
    }

    private static double parseOrNaN(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static String range(double min, double max) {
        return "a number from " + (long) min + " to " + (long) max;
    }
}
