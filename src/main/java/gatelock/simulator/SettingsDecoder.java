package gatelock.simulator;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes what an instance is told at its start, whatever carried it; times become microseconds, rounded to
 * the safe side.
 */
public final class SettingsDecoder {
    /** How long a connection is kept where nothing says when an endpoint closes it. */
    private static final long FOR_GOOD_US = Long.MAX_VALUE / 4;

    private final Map<String, String> pairs;

    private SettingsDecoder(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    static Map<String, String> pairs(String info) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : info.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            }
        }
        return pairs;
    }

    static long atLeastOne(long ns) {
        return ns > 0 ? Math.max(1, ns / 1000) : 0;
    }

    /** Reads path=value pairs; {@link MalformedLineException} where one is not of its kind. */
    public static RelaySettings read(long seed, Map<String, String> pairs) {
        SettingsDecoder t = new SettingsDecoder(pairs);
        List<RoutePolicy> routes = new ArrayList<>();
        for (int i = 0; i < t.whole("lanes.count", 0); i++) {
            String p = "lanes." + i + ".";
            routes.add(new RoutePolicy(
                    t.word(
                            p + "effect",
                            Map.of(
                                    "repeatable",
                                    RoutePolicy.Repeat.RETRIABLE,
                                    "by_key",
                                    RoutePolicy.Repeat.DEDUPED,
                                    "once",
                                    RoutePolicy.Repeat.NON_RETRIABLE),
                            RoutePolicy.Repeat.NON_RETRIABLE),
                    t.word(
                            p + "dedupScope",
                            Map.of(
                                    "all",
                                    RoutePolicy.Group.ALL,
                                    "zone",
                                    RoutePolicy.Group.ZONE,
                                    "cell",
                                    RoutePolicy.Group.CELL),
                            RoutePolicy.Group.CELL),
                    t.us(p + "keyTtlNs"),
                    t.us(p + "targetNs"),
                    t.real(p + "worth", 1)));
        }
        List<RelaySettings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < t.whole("orgs.count", 0); i++) {
            tenants.add(new RelaySettings.Tenant(t.real("orgs." + i + ".quotaPerS", 0)));
        }
        RolloutPolicy rollout = new RolloutPolicy(
                t.word(
                        "familyInfo.gateMode",
                        Map.of(
                                "first_voice",
                                RolloutPolicy.Gatekeeping.FIRST_VOICE,
                                "by_count",
                                RolloutPolicy.Gatekeeping.COUNT,
                                "automatic",
                                RolloutPolicy.Gatekeeping.CLOCK),
                        RolloutPolicy.Gatekeeping.COUNT),
                Math.max(t.us("familyInfo.bakeNs"), t.us("familyInfo.autoAfterNs")),
                t.us("familyInfo.voteLifeNs"),
                t.us("familyInfo.voteWaitNs"),
                t.reals("familyInfo.exposureCaps"),
                (int) t.whole("familyInfo.guardedStages", 0),
                "each_class".equals(t.pairs.get("familyInfo.capScope")),
                t.yes("familyInfo.forwardOnly"),
                t.real("familyInfo.free", 0),
                (int) t.whole("familyInfo.toAbort", 1),
                t.real("familyInfo.apiRate", 1),
                t.whole("familyInfo.tallyNs", 0) > 0);
        long idleUs = t.us("limits.connIdleNs");
        long warmNs = t.whole("safety.warmWithinNs", 0);
        return new RelaySettings(
                seed,
                (int) t.whole("replicasOfMe", 1),
                (int) t.whole("me", -1),
                routes,
                tenants,
                t.real("overShareWorth", 1),
                (int) t.whole("limits.tryLimit", 1),
                t.yes("limits.mayCancel"),
                t.yes("limits.retryAfter"),
                t.us("limits.maxRetryAfterNs"),
                "on_request".equals(t.pairs.get("discovery")),
                t.real("safety.coldFrom", 1),
                (warmNs + 999) / 1000,
                t.real("safety.overloadFactor", 1),
                t.us("safety.fallNs"),
                t.real("costs.handshake", 0),
                idleUs > 0 ? idleUs * 3 / 4 : FOR_GOOD_US,
                rollout);
    }

    /** One time, in microseconds; 0 where it is absent. */
    public static long us(Map<String, String> pairs, String path) {
        return new SettingsDecoder(pairs).us(path);
    }

    private long us(String path) {
        return atLeastOne(whole(path, 0));
    }

    private boolean yes(String path) {
        String value = pairs.get(path);
        return "true".equals(value) || "1".equals(value);
    }

    private <T> T word(String path, Map<String, T> words, T absent) {
        String value = pairs.get(path);
        if (value == null || value.equals("-")) {
            return absent;
        }
        T found = words.get(value);
        if (found == null) {
            throw new MalformedLineException("expected a known value for " + path + ", found " + value);
        }
        return found;
    }

    private long whole(String path, long absent) {
        return (long) real(path, absent);
    }

    private double real(String path, double absent) {
        String value = pairs.get(path);
        return value == null || value.equals("-") ? absent : number(path, value);
    }

    private double[] reals(String path) {
        String value = pairs.get(path);
        if (value == null || value.isEmpty() || value.equals("-")) {
            return new double[0];
        }
        String[] parts = value.split(",");
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = number(path, parts[i]);
        }
        return numbers;
    }

    private static double number(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected a number for " + path + ", found " + value);
        }
    }
}
