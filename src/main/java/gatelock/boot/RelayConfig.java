package gatelock.boot;

import gatelock.api.RelaySettings;
import gatelock.config.DeploymentContext;
import gatelock.net.JsonObject;
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

/** What a relay is told when it starts, read from one JSON file. */
record RelayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress controller,
        int sockets,
        JsonObject known,
        JsonObject news,
        RelaySettings charter,
        long openWithinUs,
        List<Long> deadlinesUs,
        Map<String, String> settings) {

    /** Reads it whole; whatever is missing or odd is told in one line. */
    static RelayConfig read(Path file) throws IOException {
        try {
            return readAll(file);
        } catch (IOException | RuntimeException e) {
            String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IOException("configuration " + file + ": " + why, e);
        }
    }

    /** This one with the addresses of another, the only things that change while a relay runs. */
    RelayConfig movedTo(RelayConfig to) {
        return new RelayConfig(
                name,
                listen,
                to.discovery,
                to.controller,
                sockets,
                known,
                news,
                charter,
                openWithinUs,
                deadlinesUs,
                settings);
    }

    /** Whether another one says the same but for addresses, what is listed and told, and the seed. */
    boolean sameTerms(RelayConfig other) {
        return name.equals(other.name)
                && listen.equals(other.listen)
                && sockets == other.sockets
                && settings.equals(other.settings);
    }

    private static RelayConfig readAll(Path file) throws IOException {
        JsonObject all = JsonObject.read(Files.readAllBytes(file));
        JsonObject deployer = all.object("deployer");
        Map<String, String> settings = new HashMap<>();
        flatten("", all.object("settings").fields(), settings);
        SettingsValidator.check(settings);
        RelaySettings charter = SettingsDecoder.read(seed(all.text("seed")), settings);
        List<Long> deadlinesUs = new ArrayList<>();
        for (int i = 0; i < charter.routes().size(); i++) {
            deadlinesUs.add(SettingsDecoder.us(settings, "lanes." + i + ".deadlineNs"));
        }
        // Where no time for a connection to come up is set, that of the longest request bounds it.
        long openUs = SettingsDecoder.us(settings, "limits.dialTimeoutNs");
        long longestUs = deadlinesUs.stream().mapToLong(Long::longValue).max().orElseThrow();
        return new RelayConfig(
                all.text("name"),
                all.address("listen"),
                all.address("discovery"),
                deployer.address("address"),
                all.object("limits").count("sockets"),
                all.object("known"),
                deployer.object("news"),
                charter,
                openUs > 0 ? openUs : longestUs,
                deadlinesUs,
                settings);
    }

    /** What a version is checked against. */
    DeploymentContext grounds() {
        return new DeploymentContext(
                numbered("lanes"), charter.routes(), deadlinesUs, numbered("orgs"), plain("zones"), plain("flavors"));
    }

    /** The names under a list of objects, by place. */
    Map<String, Integer> numbered(String list) {
        Map<String, Integer> names = new LinkedHashMap<>();
        for (int i = 0; settings.containsKey(list + "." + i + ".name"); i++) {
            names.put(settings.get(list + "." + i + ".name"), i);
        }
        return names;
    }

    List<String> plain(String list) {
        return List.of(settings.getOrDefault(list, "").split(","));
    }

    /** Nested JSON as the path=value pairs that the simulator's wire has. */
    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path.isEmpty() ? "" + k : path + "." + k, v, pairs));
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

    private static long seed(String text) throws IOException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IOException("expected seed as hex digits, found " + text, e);
        }
    }
}
