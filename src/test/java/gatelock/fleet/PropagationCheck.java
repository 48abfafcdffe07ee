package gatelock.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Checks how the endpoint list propagates to the relays: that every change reaches every relay in time and, with
 * subsetting, that no endpoint is held by too many relays.
 */
final class PropagationCheck {
    private final FleetRecords records;
    private final FleetParameters parameters;
    private final List<RuleViolation> violations = new ArrayList<>();

    PropagationCheck(FleetRecords records, FleetParameters parameters) {
        this.records = records;
        this.parameters = parameters;
    }

    /** Returns all violations of the rules about propagation. */
    List<RuleViolation> violations() {
        violations.clear();
        checkDelivery();
        checkDelay();
        checkHolders();
        return List.copyOf(violations);
    }

    private void report(FleetRule rule, String description) {
        violations.add(new RuleViolation(rule, description));
    }

    /** Checks that each change reaches each relay that should receive it, unless it is still in transit. */
    private void checkDelivery() {
        for (FleetRecords.Delivery delivery : records.deliveries) {
            delivery.expectedUsByRelay().forEach((relay, atUs) -> {
                if (atUs <= records.endUs && !delivery.isReceivedBy(relay)) {
                    report(FleetRule.CHANGE_DELIVERY, "relay " + relay + " never received change " + delivery.index());
                }
            });
        }
    }

    /**
     * Checks rule 3 measured from the change in discovery: after the propagation limit and the same grace period, a
     * relay sends no attempt to an endpoint that is draining or gone, regardless of what the relay received. Each pair
     * of relay and endpoint is reported once.
     */
    private void checkDelay() {
        if (parameters.discoveryLinkBytesPerS == 0) {
            return;
        }
        Map<String, StatusHistory> historyByEndpoint = new HashMap<>();
        records.becameNotReady.forEach(change -> historyByEndpoint
                .computeIfAbsent(change.endpoint(), endpoint -> new StatusHistory())
                .addUnavailable(change.atUs()));
        records.becameReady.forEach(change -> historyByEndpoint
                .computeIfAbsent(change.endpoint(), endpoint -> new StatusHistory())
                .addAvailable(change.atUs()));
        Set<String> reported = new HashSet<>();
        for (FleetRecords.Attempt attempt : records.attempts) {
            OptionalLong sinceUs = historyByEndpoint
                    .getOrDefault(attempt.endpoint(), new StatusHistory())
                    .unavailableSinceUs(attempt.atUs());
            if (sinceUs.isPresent()
                    && isTooLate(attempt, sinceUs.getAsLong())
                    && reported.add(attempt.relay() + " " + attempt.endpoint())) {
                long delayMs = (attempt.atUs() - sinceUs.getAsLong()) / VirtualClock.MILLISECOND_US;
                report(
                        FleetRule.PROPAGATION_DELAY,
                        "relay " + attempt.relay() + " sent an attempt to " + attempt.endpoint() + " " + delayMs
                                + " ms after it became unavailable");
            }
        }
    }

    private boolean isTooLate(FleetRecords.Attempt attempt, long unavailableSinceUs) {
        return attempt.atUs()
                > unavailableSinceUs
                        + parameters.propagationLimitUs
                        + RuleChecker.DRAIN_GRACE_US
                        + RuleChecker.TOLERANCE_US;
    }

    /** Checks that no more relays hold an endpoint than {@link #maxHolders} allows. */
    private void checkHolders() {
        for (FleetRecords.HolderCount count : records.holderCounts) {
            if (count.holders() > maxHolders(count.ready(), count.relays(), count.aim())) {
                report(
                        FleetRule.HOLDER_LIMIT,
                        count.endpoint() + " is held by " + count.holders() + " of " + count.relays() + " relays");
            }
        }
    }

    /**
     * Returns the maximum number of relays that may hold one endpoint: twice an even share plus a margin, because
     * relays prefer endpoints in their own zones, and never all relays. There is no limit if the service has fewer than
     * twice as many ready endpoints as each relay should hold.
     */
    static int maxHolders(int ready, int relays, int target) {
        if (ready < 2 * target) {
            return relays;
        }
        double evenShare = relays * (double) target / ready;
        return (int) Math.min(relays - 1, Math.ceil(2 * evenShare + 3 * Math.sqrt(evenShare)));
    }
}
