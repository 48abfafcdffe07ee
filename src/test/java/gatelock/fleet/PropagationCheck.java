package gatelock.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** How the endpoint list reaches the relays: whether all have every change, in time, and who holds what. */
final class PropagationCheck {
    private final FleetRecords records;
    private final FleetParameters parameters;
    private final List<RuleViolation> violations = new ArrayList<>();

    PropagationCheck(FleetRecords records, FleetParameters parameters) {
        this.records = records;
        this.parameters = parameters;
    }

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

    /** Each change reaches each relay that is to receive it, unless the relay's link still carries it. */
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
     * Rule 3 by discovery's own clock: once a relay should have notice that an endpoint leaves, and after the same
     * grace period, nothing is sent there, whatever the relay itself received. Each relay and endpoint is reported once.
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
                        "relay " + attempt.relay() + " sent to " + attempt.endpoint() + " " + delayMs
                                + " ms after it left");
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

    /** Where a service has more endpoints than a relay is to hold, none of them is held by all or most relays. */
    private void checkHolders() {
        for (FleetRecords.HolderCount count : records.holderCounts) {
            if (count.holders() > maxHolders(count.ready(), count.relays(), count.aim())) {
                report(
                        FleetRule.HOLDER_LIMIT,
                        count.endpoint() + " by " + count.holders() + " of " + count.relays() + " relays");
            }
        }
    }

    /** Twice an even share and a margin, as relays prefer their own zones; never all where half of them would do. */
    static int maxHolders(int ready, int relays, int aim) {
        if (ready < 2 * aim) {
            return relays;
        }
        double evenShare = relays * (double) aim / ready;
        return (int) Math.min(relays - 1, Math.ceil(2 * evenShare + 3 * Math.sqrt(evenShare)));
    }
}
