package gatelock.boot;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that all required settings are present, and that each value is within its range.
 *
 * <p>Guards against settings of another deployment that are incomplete or corrupt: a default in place of a missing
 * value would go unnoticed until it causes damage. Settings that a deployment may omit are not required.
 */
final class SettingsValidator {
    /** The minimum deadline and target time of requests, in nanoseconds: 1 microsecond. */
    private static final double MIN_REQUEST_NS = 1_000;
    /** The maximum of all times, in nanoseconds; sums of such times still fit a long. */
    private static final double MAX_NS = 1e15;

    private static final double MAX_NUMBER = 1e12;

    private static final String ADD_CLASSES_REMEDY = "add an object for each class of requests";

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
        int routes = count("lanes", ADD_CLASSES_REMEDY);
        if (routes == 0) {
            throw new InvalidSettingException("lanes", null, "a list with at least one class", ADD_CLASSES_REMEDY);
        }
        for (int i = 0; i < routes; i++) {
            String routePrefix = "lanes." + i + ".";
            requireInRange(
                    routePrefix + "deadlineNs",
                    MIN_REQUEST_NS,
                    MAX_NS,
                    "set how long clients of this class wait, in ns");
            requireInRange(
                    routePrefix + "targetNs",
                    MIN_REQUEST_NS,
                    MAX_NS,
                    "set the response time up to which a response has its full worth, in ns");
            checkInRange(routePrefix + "keyTtlNs", 0, MAX_NS, "set how long units recognize a repeated request, in ns");
            checkInRange(routePrefix + "worth", 0, MAX_NUMBER, "set the worth of a response");
            if (!settings.containsKey(routePrefix + "effect")) {
                throw new InvalidSettingException(
                        routePrefix + "effect",
                        null,
                        "repeatable, by_key or once",
                        "set whether requests may be repeated");
            }
        }
        validateNames("lanes", routes);
    }

    private void validateTenants() throws InvalidSettingException {
        int tenants = count("orgs", "add an object for each tenant");
        for (int i = 0; i < tenants; i++) {
            checkInRange("orgs." + i + ".quotaPerS", 0, MAX_NUMBER, "set the request quota of the tenant per second");
        }
        validateNames("orgs", tenants);
    }

    private void validateScalars() throws InvalidSettingException {
        checkInRange("replicasOfMe", 1, MAX_NUMBER, "set the number of relays");
        for (String time : OPTIONAL_TIMES) {
            checkInRange(time, 0, MAX_NS, "set a time in ns, or omit it");
        }
        for (String number : OPTIONAL_NUMBERS) {
            checkInRange(number, 0, MAX_NUMBER, "set a number that is not negative, or omit it");
        }
        checkInRange("safety.coldFrom", 0, 1, "set the share of its full speed at which a unit starts");
    }

    /** Returns the number of objects in a list; 0 if it is absent or empty. */
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

    /** Checks that each object of a list has a unique name. */
    private void validateNames(String list, int count) throws InvalidSettingException {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            String path = list + "." + i + ".name";
            String name = settings.get(path);
            if (name == null || name.isEmpty() || !names.add(name)) {
                throw new InvalidSettingException(path, name, "a unique name", "give each object a unique name");
            }
        }
    }

    private void requireInRange(String path, double min, double max, String remedy) throws InvalidSettingException {
        if (isAbsent(path)) {
            throw new InvalidSettingException(path, null, range(min, max), remedy);
        }
        checkInRange(path, min, max, remedy);
    }

    /** Checks the range of a setting that may be absent. */
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
        String value = settings.get(path);
        return value == null || value.equals("-");
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
