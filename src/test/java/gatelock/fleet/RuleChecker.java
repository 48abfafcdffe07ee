package gatelock.fleet;

import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the records of a fleet against all rules. */
final class RuleChecker {
    /** Tolerance for messages that were in transit when a deadline passed. */
    static final long TOLERANCE_US = 50 * VirtualClock.MILLISECOND_US;
    /**
     * How long a relay may still send attempts to an endpoint after it was notified that the endpoint is draining or
     * gone.
     */
    static final long DRAIN_GRACE_US = VirtualClock.SECOND_US;

    private final FleetRecords records;
    private final FleetParameters parameters;
    private final List<RuleViolation> violations = new ArrayList<>();

    RuleChecker(FleetRecords records, FleetParameters parameters) {
        this.records = records;
        this.parameters = parameters;
    }

    /** Returns all violations, in the order of the rules. */
    List<RuleViolation> violations() {
        violations.clear();
        checkExactlyOneResponse();
        checkAtMostOneExecution();
        checkNoAttemptsToUnavailableEndpoints();
        checkColdEndpointLoad();
        violations.addAll(new CanaryExposureCheck(records, parameters).violations());
        violations.addAll(new PropagationCheck(records, parameters).violations());
        return List.copyOf(violations);
    }

    private void report(FleetRule rule, String description) {
        violations.add(new RuleViolation(rule, description));
    }

    private void checkExactlyOneResponse() {
        Map<String, List<FleetRecords.Response>> responsesById = new HashMap<>();
        for (FleetRecords.Response response : records.responses) {
            responsesById
                    .computeIfAbsent(response.id(), id -> new ArrayList<>())
                    .add(response);
        }
        for (FleetRecords.Request request : records.requests) {
            List<FleetRecords.Response> responses = responsesById.getOrDefault(request.id(), List.of());
            if (responses.size() > 1) {
                report(FleetRule.EXACTLY_ONE_RESPONSE, request.id() + " has " + responses.size() + " responses");
            } else if (!records.isAbandoned(request.id()) && !isAnsweredInTime(request, responses)) {
                report(FleetRule.EXACTLY_ONE_RESPONSE, request.id() + " has no response before its deadline");
            }
        }
    }

    private static boolean isAnsweredInTime(FleetRecords.Request request, List<FleetRecords.Response> responses) {
        return !responses.isEmpty() && responses.get(0).atUs() <= request.deadlineUs() + TOLERANCE_US;
    }

    private void checkAtMostOneExecution() {
        Map<String, RoutePolicy> routeById = new HashMap<>();
        records.requests.forEach(request -> routeById.put(request.id(), request.route()));
        Map<String, Integer> executionsById = new HashMap<>();
        records.executions.forEach(execution -> executionsById.merge(execution.id(), 1, Integer::sum));
        executionsById.forEach((id, executions) -> {
            if (executions > 1 && routeById.get(id).retrySafety() == RoutePolicy.RetrySafety.NON_RETRIABLE) {
                report(FleetRule.AT_MOST_ONE_EXECUTION, id + " was executed " + executions + " times");
            }
        });
    }

    private void checkNoAttemptsToUnavailableEndpoints() {
        Map<Integer, Map<String, StatusHistory>> historyByRelay = new HashMap<>();
        records.unavailableNotices.forEach(
                notice -> history(historyByRelay, notice).addUnavailableIfAbsent(notice.atUs()));
        records.readyNotices.forEach(notice -> history(historyByRelay, notice).addAvailable(notice.atUs()));
        for (FleetRecords.Attempt attempt : records.attempts) {
            StatusHistory history = historyByRelay
                    .getOrDefault(attempt.relay(), Map.of())
                    .getOrDefault(attempt.endpoint(), new StatusHistory());
            history.unavailableSinceUs(attempt.atUs()).ifPresent(sinceUs -> {
                if (attempt.atUs() > sinceUs + DRAIN_GRACE_US + TOLERANCE_US) {
                    report(
                            FleetRule.NO_ATTEMPTS_TO_UNAVAILABLE_ENDPOINTS,
                            attempt.id() + " was sent to " + attempt.endpoint() + " while it was unavailable");
                }
            });
        }
    }

    private static StatusHistory history(
            Map<Integer, Map<String, StatusHistory>> historyByRelay, FleetRecords.Notice notice) {
        return historyByRelay
                .computeIfAbsent(notice.relay(), relay -> new HashMap<>())
                .computeIfAbsent(notice.endpoint(), endpoint -> new StatusHistory());
    }

    private void checkColdEndpointLoad() {
        Map<String, List<FleetRecords.Attempt>> attemptsByEndpoint = new HashMap<>();
        for (FleetRecords.Attempt attempt : records.attempts) {
            attemptsByEndpoint
                    .computeIfAbsent(attempt.endpoint(), endpoint -> new ArrayList<>())
                    .add(attempt);
        }
        for (FleetRecords.EndpointStart start : records.endpointStarts) {
            List<FleetRecords.Attempt> whileCold = attemptsByEndpoint.getOrDefault(start.endpoint(), List.of()).stream()
                    .filter(attempt ->
                            attempt.atUs() >= start.atUs() && attempt.atUs() < start.atUs() + parameters.warmUpUs)
                    .toList();
            checkColdEndpointLoad(start, whileCold);
        }
    }

    /** Checks every window that begins with an attempt and reports the first one with too much work. */
    private void checkColdEndpointLoad(FleetRecords.EndpointStart start, List<FleetRecords.Attempt> attempts) {
        for (int first = 0; first < attempts.size(); first++) {
            long windowStartUs = attempts.get(first).atUs();
            double workUs = 0;
            for (int i = first;
                    i < attempts.size() && attempts.get(i).atUs() < windowStartUs + parameters.coldWindowUs;
                    i++) {
                workUs += attempts.get(i).workUs();
            }
            double capacityUs = parameters.capacityShare(windowStartUs - start.atUs())
                    * start.concurrency()
                    * parameters.coldWindowUs;
            if (workUs > parameters.coldLoadLimit * capacityUs + 4 * parameters.meanWorkUs) {
                report(
                        FleetRule.COLD_ENDPOINT_LOAD,
                        start.endpoint() + " was sent " + Math.round(workUs / capacityUs) + " times its capacity");
                return;
            }
        }
    }
}
