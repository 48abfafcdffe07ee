package gatelock.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;

/**
 * Plays one step of the ladder and puts what came out into docs/capacity/scale.json, each play in place of the last
 * one of its kind: {@code STEP [PLAY|every] [all|scope|both] [RELAYS] [COMMIT] [HOLDERS]}; HOLDERS: relays that a
 * scope wants to hold an endpoint.
 */
final class ScaleRun {
    private static final Path FILE = Path.of("docs/capacity/scale.json");
    private static final long SEED = 36;
    /** What the decisions of one relay take for an endpoint that they hold, and a margin for all else. */
    private static final long BYTES_PER_HELD = 450;

    private static final double HEAP_PART = 0.5;
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ScaleRun() {}

    public static void main(String[] args) throws IOException {
        if (Runtime.getRuntime().maxMemory() > machineMemory() / 2 * 1.05) {
            throw new IllegalStateException("the heap is more than half of this machine's memory");
        }
        ScaleStep step = ScaleStep.of(args[0]);
        String which = args.length > 1 ? args[1] : "every";
        String mode = args.length > 2 ? args[2] : "all";
        int asked = args.length > 3 ? Integer.parseInt(args[3]) : 0;
        String commit = args.length > 4 ? args[4] : "unknown";
        int holders = args.length > 5 ? Integer.parseInt(args[5]) : EndpointSubset.LEAST_HOLDERS;
        List<FleetScenario> plays = which.equals("every")
                ? List.of(FleetScenario.values())
                : List.of(FleetScenario.valueOf(which.toUpperCase(Locale.ROOT)));
        List<String> modes = mode.equals("both") ? List.of("all", "scope") : List.of(mode);
        for (FleetScenario play : plays) {
            for (String scope : modes) {
                boolean scoped = scope.equals("scope");
                FleetScenario.Result result = play.play(step, terms(step, scoped, asked, holders), new CpuMeter(true));
                ObjectNode out = out(step, play, scope, result, commit);
                merge(step, out, commit);
                System.out.println(JSON.writeValueAsString(out));
                result.broken().stream().limit(5).forEach(b -> System.out.println("broken: " + b));
            }
        }
    }

    /** As many of the step's relays as were asked for, and no more than the heap bears. */
    private static SimulatedFleet.Terms terms(ScaleStep step, boolean scoped, int asked, int holders) {
        long inScope = Math.max(
                (long) step.services() * new SimulatedFleet.Terms().perService,
                (long) step.endpoints() * Math.min(step.relays(), holders) / step.relays());
        long held = scoped ? Math.min(step.endpoints(), inScope) : step.endpoints();
        long bears = (long) (Runtime.getRuntime().maxMemory() * HEAP_PART) / (held * BYTES_PER_HELD);
        int played = (int) Math.max(1, Math.min(asked > 0 ? asked : step.relays(), bears));
        SimulatedFleet.Terms terms = step.terms(played, SEED);
        terms.scoped = scoped;
        terms.leastHolders = holders;
        return terms;
    }

    private static long machineMemory() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getTotalMemorySize();
    }

    private static ObjectNode out(
            ScaleStep step, FleetScenario play, String scope, FleetScenario.Result result, String commit) {
        SimulatedFleet fleet = result.fleet();
        FleetRecords records = fleet.records;
        SimulatedFleet.Terms terms = fleet.terms;
        int played = terms.played();
        boolean whole = played == terms.relays;
        double squeeze = play.squeeze(step);
        long[] reached = records.reachedUs();
        long told = records.messages.stream().mapToLong(m -> m.owed()).sum();
        long bytes =
                records.messages.stream().mapToLong(m -> m.bytes * m.owed()).sum();
        CpuMeter meter = result.meter();
        double spanUs = result.spanS() * SimulatedFleet.S;
        ObjectNode out = JSON.createObjectNode();
        out.put("play", play.name().toLowerCase(Locale.ROOT)).put("scope", scope);
        out.put("run", runId(commit)).put("relaysPlayed", played).put("squeeze", round(squeeze));
        out.put("reqsShare", step.requestsShare()).put("spanS", result.spanS()).put("wallS", round(result.wallS()));
        out.put("changes", records.messages.size()).put("told", told);
        out.put("reachedP50Ms", at(reached, 0.5)).put("reachedP99Ms", at(reached, 0.99));
        out.put("reachedLastMs", at(reached, 1)).put("onTheWayAtTheEnd", records.onTheWay());
        out.put("entryBytes", round(fleet.discovery().entryBytes()));
        out.put("bytesPerRelay", bytes / played);
        out.put("bytesPerRelayS", round(bytes / (double) played / result.spanS() / squeeze));
        double listUs = meter.us(CpuMeter.Role.LIST) + meter.us(CpuMeter.Role.SCOPE);
        double beatUs = meter.us(CpuMeter.Role.BEAT);
        out.put("cpuPerRelayShare", share((listUs / squeeze + beatUs) / played / spanUs));
        out.put("cpuListUsPerChange", round(meter.us(CpuMeter.Role.LIST) / Math.max(1, told)));
        out.put("cpuScopeUsPerChange", round(meter.us(CpuMeter.Role.SCOPE) / Math.max(1, told)));
        out.put("cpuBeatShare", share(beatUs / played / spanUs));
        long inSpan = records.taken.size();
        out.put("cpuUsPerReq", round(meter.us(CpuMeter.Role.REQS) / Math.max(1, inSpan)));
        out.put("cpuWorldS", round(meter.us(CpuMeter.Role.WORLD) / SimulatedFleet.S));
        out.put("heapPerRelayBytes", meter.heapTaken() / played);
        out.put("taken", records.taken.size()).put("completed", records.answers.size() - records.refused());
        out.put("refused", records.refused());
        out.put("lost", records.taken.size() - records.answers.size());
        out.put("rule1", verdict(result, "rule 1", true)).put("rule2", verdict(result, "rule 2", true));
        out.put("rule3", verdict(result, "rule 3", true)).put("rule4", verdict(result, "rule 4", whole));
        out.put("toldLate", result.count("told late")).put("neverTold", result.count("change"));
        out.put("heldByMany", verdict(result, "held", whole && terms.scoped));
        out.put("digest", records.digest());
        return out;
    }

    private static String verdict(FleetScenario.Result result, String rule, boolean checked) {
        long n = result.count(rule);
        return !checked ? "not checked" : n == 0 ? "kept" : "broken " + n;
    }

    private static double at(long[] sortedUs, double share) {
        return sortedUs.length == 0
                ? 0
                : round(sortedUs[(int) Math.min(sortedUs.length - 1, Math.floor(share * sortedUs.length))] / 1000.0);
    }

    private static double round(double value) {
        return Math.round(value * 10) / 10.0;
    }

    private static double share(double value) {
        return Math.round(value * 1e6) / 1e6;
    }

    private static String runId(String commit) {
        return DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'")
                        .withZone(ZoneOffset.UTC)
                        .format(Instant.now()) + "-" + commit;
    }

    /** One play takes the place of an earlier one of the same step, play and scope; steps stay in their order. */
    private static void merge(ScaleStep step, ObjectNode play, String commit) throws IOException {
        ObjectNode file = Files.exists(FILE) ? (ObjectNode) JSON.readTree(FILE.toFile()) : JSON.createObjectNode();
        ObjectNode run = file.putObject("run");
        run.put("id", play.get("run").asText())
                .put("date", Instant.now().toString())
                .put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
        ArrayNode before = file.path("steps").isArray() ? (ArrayNode) file.get("steps") : JSON.createArrayNode();
        ArrayNode steps = JSON.createArrayNode();
        String largest = "";
        for (ScaleStep s : ScaleStep.LADDER) {
            ObjectNode its = null;
            for (var b : before) {
                its = b.get("step").asText().equals(s.name()) ? (ObjectNode) b : its;
            }
            if (its == null && s != step) {
                continue;
            }
            its = its == null ? JSON.createObjectNode() : its;
            its.put("step", s.name()).put("relays", s.relays()).put("units", s.endpoints());
            its.put("services", s.services()).put("zones", s.zones());
            ArrayNode plays = JSON.createArrayNode();
            for (FleetScenario p : FleetScenario.values()) {
                for (String scope : List.of("all", "scope")) {
                    var mine = s == step && is(play, p, scope) ? play : find(its.path("plays"), p, scope);
                    if (mine != null) {
                        plays.add(mine);
                        largest = mine.get("relaysPlayed").asInt() == s.relays() ? s.name() : largest;
                    }
                }
            }
            its.set("plays", plays);
            steps.add(its);
        }
        file.put("largest", largest);
        file.set("steps", steps);
        Files.createDirectories(FILE.getParent());
        Files.writeString(FILE, JSON.writeValueAsString(file) + "\n");
    }

    private static JsonNode find(Iterable<JsonNode> in, FleetScenario play, String scope) {
        for (var one : in) {
            if (is(one, play, scope)) {
                return one;
            }
        }
        return null;
    }

    private static boolean is(JsonNode node, FleetScenario play, String scope) {
        return node.get("play").asText().equalsIgnoreCase(play.name())
                && node.get("scope").asText().equals(scope);
    }
}
