package gatelock.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks rule 5: in every window, the attempts that a relay sends to the canary do not exceed a fixed allowance plus
 * the exposure cap's share of the requests that the relay accepted. Two more attempts and a share that is 4% higher are
 * tolerated.
 */
final class CanaryExposureCheck {
    private static final int TOLERATED_ATTEMPTS = 2;
    private static final double TOLERATED_FACTOR = 1.04;

    private final FleetRecords records;
    private final FleetParameters parameters;

    CanaryExposureCheck(FleetRecords records, FleetParameters parameters) {
        this.records = records;
        this.parameters = parameters;
    }

    /** Returns at most one violation for each relay and exposure cap. */
    List<RuleViolation> violations() {
        if (records.canaryCaps.stream().allMatch(FleetRecords.CanaryCap::isNone)) {
            return List.of();
        }
        Map<Integer, List<FleetRecords.Request>> requestsByRelay =
                records.requests.stream().collect(Collectors.groupingBy(FleetRecords.Request::relay));
        Map<Integer, List<FleetRecords.Attempt>> attemptsByRelay =
                records.attempts.stream().collect(Collectors.groupingBy(FleetRecords.Attempt::relay));
        Map<Integer, List<FleetRecords.CanaryCap>> capsByRelay =
                records.canaryCaps.stream().collect(Collectors.groupingBy(FleetRecords.CanaryCap::relay));
        List<RuleViolation> violations = new ArrayList<>();
        capsByRelay.forEach((relay, caps) -> violations.addAll(check(
                caps, requestsByRelay.getOrDefault(relay, List.of()), attemptsByRelay.getOrDefault(relay, List.of()))));
        return violations;
    }

    /** Checks one relay against each of its exposure caps; a cap applies until the relay receives the next one. */
    private List<RuleViolation> check(
            List<FleetRecords.CanaryCap> caps,
            List<FleetRecords.Request> requests,
            List<FleetRecords.Attempt> attempts) {
        List<RuleViolation> violations = new ArrayList<>();
        for (int i = 0; i < caps.size(); i++) {
            FleetRecords.CanaryCap cap = caps.get(i);
            long untilUs = i + 1 < caps.size() ? caps.get(i + 1).atUs() : Long.MAX_VALUE;
            List<FleetRecords.Attempt> canaryAttempts = attempts.stream()
                    .filter(attempt ->
                            attempt.build() == cap.build() && attempt.atUs() >= cap.atUs() && attempt.atUs() < untilUs)
                    .toList();
            addFirstViolation(cap, requests, canaryAttempts, violations);
        }
        return violations;
    }

    private void addFirstViolation(
            FleetRecords.CanaryCap cap,
            List<FleetRecords.Request> requests,
            List<FleetRecords.Attempt> canaryAttempts,
            List<RuleViolation> violations) {
        for (FleetRecords.Attempt first : canaryAttempts) {
            long fromUs = first.atUs();
            long toUs = fromUs + parameters.exposureWindowUs;
            long attemptCount = canaryAttempts.stream()
                    .filter(attempt -> attempt.atUs() >= fromUs && attempt.atUs() < toUs)
                    .count();
            long requestCount = requests.stream()
                    .filter(request -> request.atUs() >= fromUs && request.atUs() < toUs)
                    .count();
            if (attemptCount
                    > parameters.canaryAttemptAllowance
                            + TOLERATED_ATTEMPTS
                            + cap.cap() * TOLERATED_FACTOR * requestCount) {
                violations.add(new RuleViolation(
                        FleetRule.CANARY_EXPOSURE,
                        "relay " + cap.relay() + " sent " + attemptCount + " attempts to the canary for " + requestCount
                                + " requests"));
                return;
            }
        }
    }
}
