package gatelock.simulator;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Decodes the settings that a relay receives at its start, both from the simulator and from its configuration file.
 * They are path=value pairs, where {@code -} stands for an absent value. Times are converted to microseconds and
 * rounded in the safe direction.
 */
public final class SettingsDecoder {
    private static final int NS_PER_US = 1_000;
    /** The idle time of connections if the settings do not state when endpoints close them: practically unlimited. */
    private static final long NO_IDLE_TIMEOUT_US = Long.MAX_VALUE / 4;

    private static final String ABSENT = "-";

    private static final Map<String, RoutePolicy.RetrySafety> RETRY_SAFETIES = Map.of(
            "repeatable",
            RoutePolicy.RetrySafety.RETRIABLE,
            "by_key",
            RoutePolicy.RetrySafety.DEDUPED,
            "once",
            RoutePolicy.RetrySafety.NON_RETRIABLE);
    private static final Map<String, RoutePolicy.DedupScope> DEDUP_SCOPES = Map.of(
            "all",
            RoutePolicy.DedupScope.ALL,
            "zone",
            RoutePolicy.DedupScope.ZONE,
            "cell",
            RoutePolicy.DedupScope.CELL);
    private static final Map<String, RolloutPolicy.PromotionMode> PROMOTION_MODES = Map.of(
            "first_voice",
            RolloutPolicy.PromotionMode.FIRST_VOICE,
            "by_count",
            RolloutPolicy.PromotionMode.COUNT,
            "automatic",
            RolloutPolicy.PromotionMode.CLOCK);

    private final Map<String, String> pairs;

    private SettingsDecoder(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Splits the rest of a line into path=value pairs. */
    static Map<String, String> splitPairs(String info) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : info.split(" ", 0)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return pairs;
    }

    /** Converts to microseconds: rounded down, but at least 1 for any time above 0; 0 for 0 and negative times. */
    static long nsToUs(long ns) {
        return ns > 0 ? Math.max(1, ns / NS_PER_US) : 0;
    }

    /**
     * Decodes path=value pairs.
     *
     * @throws MalformedSettingException if a value cannot be parsed or is not one of the allowed values
     */
    public static RelaySettings decode(long seed, Map<String, String> pairs) {
        return new SettingsDecoder(pairs).decode(seed);
    }

    /** Decodes one time and returns it in microseconds; 0 if it is absent. */
    public static long timeUs(Map<String, String> pairs, String path) {
        return new SettingsDecoder(pairs).timeUs(path);
    }

    private RelaySettings decode(long seed) {
        // The order is fixed so that, of several malformed values, the same one is always reported.
        List<RoutePolicy> routes = routes();
        List<RelaySettings.Tenant> tenants = tenants();
        RolloutPolicy rollout = rollout();
        long connectionIdleUs = timeUs("limits.connIdleNs");
        long warmUpNs = wholeNumber("safety.warmWithinNs", 0);
        return new RelaySettings(
                seed,
                (int) wholeNumber("replicasOfMe", 1),
                (int) wholeNumber("me", -1),
                routes,
                tenants,
                number("overShareWorth", 1),
                (int) wholeNumber("limits.tryLimit", 1),
                flag("limits.mayCancel"),
                flag("limits.retryAfter"),
                timeUs("limits.maxRetryAfterNs"),
                "on_request".equals(pairs.get("discovery")),
                number("safety.coldFrom", 1),
                (warmUpNs + NS_PER_US - 1) / NS_PER_US,
                number("safety.overloadFactor", 1),
                timeUs("safety.fallNs"),
                number("costs.handshake", 0),
                connectionIdleUs > 0 ? connectionIdleUs * 3 / 4 : NO_IDLE_TIMEOUT_US,
                rollout);
    }

    private List<RoutePolicy> routes() {
        List<RoutePolicy> routes = new ArrayList<>();
        for (int i = 0; i < wholeNumber("lanes.count", 0); i++) {
            String routePrefix = "lanes." + i + ".";
            routes.add(new RoutePolicy(
                    oneOf(routePrefix + "effect", RETRY_SAFETIES, RoutePolicy.RetrySafety.NON_RETRIABLE),
                    oneOf(routePrefix + "dedupScope", DEDUP_SCOPES, RoutePolicy.DedupScope.CELL),
                    timeUs(routePrefix + "keyTtlNs"),
                    timeUs(routePrefix + "targetNs"),
                    number(routePrefix + "worth", 1)));
        }
        return routes;
    }

    private List<RelaySettings.Tenant> tenants() {
        List<RelaySettings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < wholeNumber("orgs.count", 0); i++) {
            tenants.add(new RelaySettings.Tenant(number("orgs." + i + ".quotaPerS", 0)));
        }
        return tenants;
    }

    private RolloutPolicy rollout() {
        return new RolloutPolicy(
                oneOf("familyInfo.gateMode", PROMOTION_MODES, RolloutPolicy.PromotionMode.COUNT),
                Math.max(timeUs("familyInfo.bakeNs"), timeUs("familyInfo.autoAfterNs")),
                timeUs("familyInfo.voteLifeNs"),
                timeUs("familyInfo.voteWaitNs"),
                numbers("familyInfo.exposureCaps"),
                (int) wholeNumber("familyInfo.guardedStages", 0),
                "each_class".equals(pairs.get("familyInfo.capScope")),
                flag("familyInfo.forwardOnly"),
                number("familyInfo.free", 0),
                (int) wholeNumber("familyInfo.toAbort", 1),
                number("familyInfo.apiRate", 1),
                wholeNumber("familyInfo.tallyNs", 0) > 0);
    }

    private long timeUs(String path) {
        return nsToUs(wholeNumber(path, 0));
    }

    private boolean flag(String path) {
        String value = pairs.get(path);
        return "true".equals(value) || "1".equals(value);
    }

    private <T> T oneOf(String path, Map<String, T> valuesByWord, T defaultValue) {
        String word = pairs.get(path);
        if (word == null || word.equals(ABSENT)) {
            return defaultValue;
        }
        T value = valuesByWord.get(word);
        if (value == null) {
            String remedy = "use one of " + String.join(", ", new TreeSet<>(valuesByWord.keySet()));
            throw new MalformedSettingException(path, word, "one of the allowed values", remedy);
        }
        return value;
    }

    private long wholeNumber(String path, long defaultValue) {
        return (long) number(path, (double) defaultValue);
    }

    private double number(String path, double defaultValue) {
        String value = pairs.get(path);
        return value == null || value.equals(ABSENT) ? defaultValue : parseNumber(path, value);
    }

    /** Decodes a list of numbers; returns an empty array if it is absent. */
    private double[] numbers(String path) {
        String value = pairs.get(path);
        if (value == null || value.isEmpty() || value.equals(ABSENT)) {
            return new double[0];
        }
        String[] parts = value.split(",", 0);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = parseNumber(path, parts[i]);
        }
        return numbers;
    }

    private static double parseNumber(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedSettingException(path, value, "a number", "");
        }
    }
}
