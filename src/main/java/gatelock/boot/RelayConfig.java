package gatelock.boot;

import gatelock.api.RelaySettings;
import gatelock.config.DeploymentContext;
import gatelock.net.JsonObject;
import gatelock.simulator.MalformedSettingException;
import gatelock.simulator.SettingsDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the platform gives a relay at its start, read from one JSON file.
 *
 * @param name the relay's name
 * @param listen where it takes requests
 * @param discovery where the discovery service is
 * @param releaseController where the release controller is
 * @param maxSockets how many sockets this process may hold
 * @param knownEndpoints the endpoint list to begin with, until discovery sends one
 * @param knownRelease the release's state to begin with, until the release controller tells it
 * @param settings the decoded settings
 * @param connectTimeoutUs how long a connection to an endpoint may take to come up
 * @param deadlinesUs how long clients wait, for each route in order
 * @param rawSettings the settings as path=value pairs
 */
record RelayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress releaseController,
        int maxSockets,
        JsonObject knownEndpoints,
        JsonObject knownRelease,
        RelaySettings settings,
        long connectTimeoutUs,
        List<Long> deadlinesUs,
        Map<String, String> rawSettings) {
    private static final int HEX = 16;

    /**
     * Reads a file.
     *
     * @throws ConfigurationException for the first thing in it that is missing or wrong
     */
    static RelayConfig read(Path file) throws ConfigurationException {
        try {
            return parse(JsonObject.parse(Files.readAllBytes(file)));
        } catch (InvalidSettingException e) {
            throw ConfigurationException.inRelayFile(file, e.problem(), e);
        } catch (MalformedSettingException e) {
            InvalidSettingException invalid =
                    new InvalidSettingException(e.path(), e.found(), e.expected(), e.remedy());
            throw ConfigurationException.inRelayFile(file, invalid.problem(), e);
        } catch (IOException | RuntimeException e) {
            ConfigurationException.Problem problem =
                    new ConfigurationException.Problem("", String.valueOf(e.getMessage()), "");
            throw ConfigurationException.inRelayFile(file, problem, e);
        }
    }

    /** This configuration with the addresses of another: nothing else changes while a relay runs. */
    RelayConfig withAddressesOf(RelayConfig other) {
        return new RelayConfig(
                name,
                listen,
                other.discovery,
                other.releaseController,
                maxSockets,
                knownEndpoints,
                knownRelease,
                settings,
                connectTimeoutUs,
                deadlinesUs,
                rawSettings);
    }

    /** Whether another one differs at most in addresses, the endpoints and release to begin with, and the seed. */
    boolean sameSettings(RelayConfig other) {
        return name.equals(other.name)
                && listen.equals(other.listen)
                && maxSockets == other.maxSockets
                && rawSettings.equals(other.rawSettings);
    }

    private static RelayConfig parse(JsonObject root) throws IOException {
        JsonObject deployer = root.object("deployer");
        Map<String, String> raw = new HashMap<>();
        flatten("", root.object("settings").fields(), raw);
        SettingsValidator.validate(raw);
        RelaySettings settings = SettingsDecoder.decode(parseSeed(root.text("seed")), raw);
        List<Long> deadlinesUs = new ArrayList<>();
        for (int i = 0; i < settings.routes().size(); i++) {
            deadlinesUs.add(SettingsDecoder.timeUs(raw, "lanes." + i + ".deadlineNs"));
        }
        return new RelayConfig(
                root.text("name"),
                root.address("listen"),
                root.address("discovery"),
                deployer.address("address"),
                root.object("limits").nonNegativeInt("sockets"),
                root.object("known"),
                deployer.object("news"),
                settings,
                connectTimeoutUs(raw, deadlinesUs),
                deadlinesUs,
                raw);
    }

    /** Where no time for a connection to come up is set, the deadline of the longest request bounds it. */
    private static long connectTimeoutUs(Map<String, String> raw, List<Long> deadlinesUs) {
        long set = SettingsDecoder.timeUs(raw, "limits.dialTimeoutNs");
        return set > 0
                ? set
                : deadlinesUs.stream().mapToLong(Long::longValue).max().orElseThrow();
    }

    /** The part of this deployment that a version of the configuration is checked against. */
    DeploymentContext deploymentContext() {
        return new DeploymentContext(
                indexesByName("lanes"),
                settings.routes(),
                deadlinesUs,
                indexesByName("orgs"),
                names("zones"),
                names("flavors"));
    }

    /** The names of a list of objects in the settings, each with its index. */
    Map<String, Integer> indexesByName(String list) {
        Map<String, Integer> indexes = new LinkedHashMap<>();
        for (int i = 0; rawSettings.containsKey(list + "." + i + ".name"); i++) {
            indexes.put(rawSettings.get(list + "." + i + ".name"), i);
        }
        return indexes;
    }

    /** A list of names in the settings; one empty name where it is absent. */
    List<String> names(String list) {
        return List.of(rawSettings.getOrDefault(list, "").split(",", 0));
    }

    /** Adds nested JSON to {@code pairs} as the path=value pairs of the simulator's wire format. */
    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, item) -> flatten(path.isEmpty() ? "" + key : path + "." + key, item, pairs));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            pairs.put(path + ".count", "" + list.size());
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), pairs);
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            pairs.put(path, value.toString());
        }
    }

    private static long parseSeed(String text) throws IOException {
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw new IOException("expected seed as hex digits, found " + text, e);
        }
    }
}
