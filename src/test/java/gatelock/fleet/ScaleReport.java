package gatelock.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** The results of one scale run in the format of docs/capacity/scale.json. */
final class ScaleReport {
    private static final DateTimeFormatter RUN_TIME =
            DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'").withZone(ZoneOffset.UTC);

    private final ScaleStep step;
    private final FleetScenario scenario;
    private final String mode;
    private final FleetScenario.Result result;
    private final FleetRecords records;
    private final FleetParameters parameters;
    private final int relays;

    /** @param mode one of {@link ScaleResultsFile#MODES} */
    ScaleReport(ScaleStep step, FleetScenario scenario, String mode, FleetScenario.Result result) {
        this.step = step;
        this.scenario = scenario;
        this.mode = mode;
        this.result = result;
        this.records = result.fleet().records();
        this.parameters = result.fleet().parameters();
        this.relays = parameters.simulatedRelayCount();
    }

    /** Returns the results as JSON; {@code commit} becomes part of the run's id. */
    ObjectNode json(String commit) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        putRun(json, commit);
        putPropagation(json);
        putResources(json);
        putRequests(json);
        putRules(json);
        json.put("digest", records.digest());
        return json;
    }

    private void putRun(ObjectNode json, String commit) {
        json.put("play", scenario.name().toLowerCase(Locale.ROOT)).put("scope", mode);
        json.put("run", RUN_TIME.format(Instant.now()) + "-" + commit);
        json.put("relaysPlayed", relays).put("squeeze", tenths(scenario.timeCompression(step)));
        json.put("reqsShare", step.requestsShare());
        json.put("spanS", result.simulatedS()).put("wallS", tenths(result.wallS()));
    }

    private long expectedDeliveries() {
        return records.deliveries.stream()
                .mapToLong(FleetRecords.Delivery::expectedCount)
                .sum();
    }

    private void putPropagation(ObjectNode json) {
        long[] delaysUs = records.deliveryDelaysUs();
        long bytes = records.deliveries.stream()
                .mapToLong(delivery -> delivery.bytes() * delivery.expectedCount())
                .sum();
        json.put("changes", records.deliveries.size()).put("told", expectedDeliveries());
        json.put("reachedP50Ms", quantileMs(delaysUs, 0.5)).put("reachedP99Ms", quantileMs(delaysUs, 0.99));
        json.put("reachedLastMs", quantileMs(delaysUs, 1)).put("onTheWayAtTheEnd", records.undelivered());
        json.put("entryBytes", tenths(result.fleet().discovery().meanEntryBytes()));
        json.put("bytesPerRelay", bytes / relays);
        json.put(
                "bytesPerRelayS",
                tenths(bytes / (double) relays / result.simulatedS() / scenario.timeCompression(step)));
    }

    private void putResources(ObjectNode json) {
        CpuMeter meter = result.cpuMeter();
        double spanUs = result.simulatedS() * VirtualClock.SECOND_US;
        double listUs = meter.cpuUs(CpuMeter.Role.ENDPOINT_LIST) + meter.cpuUs(CpuMeter.Role.SUBSET);
        double tickUs = meter.cpuUs(CpuMeter.Role.TICK);
        long deliveries = Math.max(1, expectedDeliveries());
        json.put("cpuPerRelayShare", millionths((listUs / scenario.timeCompression(step) + tickUs) / relays / spanUs));
        json.put("cpuListUsPerChange", tenths(meter.cpuUs(CpuMeter.Role.ENDPOINT_LIST) / deliveries));
        json.put("cpuScopeUsPerChange", tenths(meter.cpuUs(CpuMeter.Role.SUBSET) / deliveries));
        json.put("cpuBeatShare", millionths(tickUs / relays / spanUs));
        json.put("cpuUsPerReq", tenths(meter.cpuUs(CpuMeter.Role.REQUESTS) / Math.max(1, records.requests.size())));
        json.put("cpuWorldS", tenths(meter.cpuUs(CpuMeter.Role.SIMULATION) / VirtualClock.SECOND_US));
        json.put("heapPerRelayBytes", meter.heapAllocatedBytes() / relays);
    }

    private void putRequests(ObjectNode json) {
        int accepted = records.requests.size();
        int answered = records.responses.size();
        long rejected = records.rejectedRequests();
        json.put("taken", accepted).put("completed", answered - rejected);
        json.put("refused", rejected).put("lost", accepted - answered);
    }

    private void putRules(ObjectNode json) {
        // Rules about sums over all relays cannot be checked if only some relays are simulated.
        boolean complete = relays == parameters.relays;
        json.put("rule1", verdict(FleetRule.EXACTLY_ONE_RESPONSE))
                .put("rule2", verdict(FleetRule.AT_MOST_ONE_EXECUTION));
        json.put("rule3", verdict(FleetRule.NO_ATTEMPTS_TO_UNAVAILABLE_ENDPOINTS));
        json.put("rule4", verdict(FleetRule.COLD_ENDPOINT_LOAD, complete));
        json.put("toldLate", result.count(FleetRule.PROPAGATION_DELAY));
        json.put("neverTold", result.count(FleetRule.CHANGE_DELIVERY));
        json.put("heldByMany", verdict(FleetRule.HOLDER_LIMIT, complete && parameters.subsetting));
    }

    private String verdict(FleetRule rule, boolean checked) {
        return checked ? verdict(rule) : "not checked";
    }

    private String verdict(FleetRule rule) {
        long violations = result.count(rule);
        return violations == 0 ? "kept" : "broken " + violations;
    }

    private static double quantileMs(long[] sortedUs, double quantile) {
        if (sortedUs.length == 0) {
            return 0;
        }
        int index = (int) Math.min(sortedUs.length - 1, Math.floor(quantile * sortedUs.length));
        return tenths(sortedUs[index] / 1000.0);
    }

    private static double tenths(double value) {
        return Math.round(value * 10) / 10.0;
    }

    private static double millionths(double value) {
        return Math.round(value * 1e6) / 1e6;
    }
}
