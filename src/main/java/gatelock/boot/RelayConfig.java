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
 * The configuration that the platform provides to a relay at its start, read from one JSON file.
 *
 * @param name the name of the relay
 * @param listen the address on which it accepts requests
 * @param discovery the address of the discovery service
 * @param releaseController the address of the release controller
 * @param maxSockets the maximum number of open sockets of this process
 * @param initialEndpoints the endpoint list that is used until discovery sends one
 * @param initialRelease the release state that is used until the release controller sends one
 * @param settings the decoded settings
 * @param connectTimeoutUs the timeout for connecting to an endpoint
 * @param deadlinesUs how long clients wait for a response, by route index
 * @param rawSettings the settings as path=value pairs
 */
record RelayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress releaseController,
        int maxSockets,
        JsonObject initialEndpoints,
        JsonObject initialRelease,
        RelaySettings settings,
        long connectTimeoutUs,
        List<Long> deadlinesUs,
        Map<String, String> rawSettings) {
    private static final int HEX_RADIX = 16;

    /**
     * Reads a file.
     *
     * @throws ConfigurationException for the first value that is missing or invalid
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

    /** Returns a copy with the addresses of another configuration: only these can change while a relay runs. */
    RelayConfig withAddressesOf(RelayConfig other) {
        return new RelayConfig(
                name,
                listen,
                other.discovery,
                other.releaseController,
                maxSockets,
                initialEndpoints,
                initialRelease,
                settings,
                connectTimeoutUs,
                deadlinesUs,
                rawSettings);
    }

    /**
     * Returns whether another configuration differs at most in the addresses of discovery and the release controller,
     * the initial endpoints and release, and the seed.
     */
    boolean hasSameSettings(RelayConfig other) {
        return name.equals(other.name)
                && listen.equals(other.listen)
                && maxSockets == other.maxSockets
                && rawSettings.equals(other.rawSettings);
    }

    private static RelayConfig parse(JsonObject root) throws IOException {
        JsonObject deployer = root.object("deployer");
        Map<String, String> rawSettings = new HashMap<>();
        flatten("", root.object("settings").fields(), rawSettings);
        SettingsValidator.validate(rawSettings);
        RelaySettings settings = SettingsDecoder.decode(parseSeed(root.text("seed")), rawSettings);
        List<Long> deadlinesUs = new ArrayList<>();
        for (int i = 0; i < settings.routes().size(); i++) {
            deadlinesUs.add(SettingsDecoder.timeUs(rawSettings, "lanes." + i + ".deadlineNs"));
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
                connectTimeoutUs(rawSettings, deadlinesUs),
                deadlinesUs,
                rawSettings);
    }

    /** Returns the configured timeout, or the longest deadline of any route if none is configured. */
    private static long connectTimeoutUs(Map<String, String> raw, List<Long> deadlinesUs) {
        long configuredUs = SettingsDecoder.timeUs(raw, "limits.dialTimeoutNs");
        return configuredUs > 0
                ? configuredUs
                : deadlinesUs.stream().mapToLong(Long::longValue).max().orElseThrow();
    }

    /** Returns the part of this deployment that a configuration version is checked against. */
    DeploymentContext deploymentContext() {
        return new DeploymentContext(
                indexesByName("lanes"),
                settings.routes(),
                deadlinesUs,
                indexesByName("orgs"),
                names("zones"),
                names("flavors"));
    }

    /** Returns the names in a list of objects in the settings, each with the index of its object. */
    Map<String, Integer> indexesByName(String list) {
        Map<String, Integer> indexes = new LinkedHashMap<>();
        for (int i = 0; rawSettings.containsKey(list + "." + i + ".name"); i++) {
            indexes.put(rawSettings.get(list + "." + i + ".name"), i);
        }
        return indexes;
    }

    /** Returns a list of names in the settings; a single empty name if the list is absent. */
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
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new IOException("expected seed as hex digits, found " + text, e);
        }
    }
}
