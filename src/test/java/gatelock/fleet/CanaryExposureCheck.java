package gatelock.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Rule 5: in every window, a relay's attempts at the canary stay within a free number and the cap's share of the
 * requests that it accepted. Two attempts and 4% more than that are tolerated.
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

    /** Checks one relay, cap by cap; each cap holds until the next one. */
    private List<RuleViolation> check(
            List<FleetRecords.CanaryCap> caps,
            List<FleetRecords.Request> requests,
            List<FleetRecords.Attempt> attempts) {
        List<RuleViolation> violations = new ArrayList<>();
        for (int i = 0; i < caps.size(); i++) {
            FleetRecords.CanaryCap cap = caps.get(i);
            long untilUs = i + 1 < caps.size() ? caps.get(i + 1).atUs() : Long.MAX_VALUE;
            List<FleetRecords.Attempt> atCanary = attempts.stream()
                    .filter(attempt ->
                            attempt.build() == cap.build() && attempt.atUs() >= cap.atUs() && attempt.atUs() < untilUs)
                    .toList();
            firstViolation(cap, requests, atCanary, violations);
        }
        return violations;
    }

    private void firstViolation(
            FleetRecords.CanaryCap cap,
            List<FleetRecords.Request> requests,
            List<FleetRecords.Attempt> atCanary,
            List<RuleViolation> violations) {
        for (FleetRecords.Attempt first : atCanary) {
            long fromUs = first.atUs();
            long toUs = fromUs + parameters.exposureWindowUs;
            long attempted = atCanary.stream()
                    .filter(attempt -> attempt.atUs() >= fromUs && attempt.atUs() < toUs)
                    .count();
            long accepted = requests.stream()
                    .filter(request -> request.atUs() >= fromUs && request.atUs() < toUs)
                    .count();
            if (attempted
                    > parameters.freeCanaryAttempts + TOLERATED_ATTEMPTS + cap.cap() * TOLERATED_FACTOR * accepted) {
                violations.add(new RuleViolation(
                        FleetRule.CANARY_EXPOSURE,
                        "relay " + cap.relay() + " sent " + attempted + " for " + accepted + " requests"));
                return;
            }
        }
    }
}
