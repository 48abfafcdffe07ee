package gatelock.fleet;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import java.util.List;

/** The settings that simulated relays give to their decisions. */
final class SimulatedRelaySettings {
    private SimulatedRelaySettings() {}

    /**
     * The settings of one process of a relay.
     *
     * @param relay its number, and {@code incarnation} that of its process: each process draws its own random numbers
     * @param stageCaps for each stage, the largest share of requests that may go to the canary
     */
    static RelaySettings of(FleetParameters parameters, int relay, int incarnation, double[] stageCaps) {
        return new RelaySettings(
                parameters.seed * 1000 + relay * 31L + incarnation,
                parameters.relays,
                relay,
                ClientLoad.routePolicies(),
                List.of(),
                1,
                5,
                true,
                true,
                2 * VirtualClock.SECOND_US,
                false,
                parameters.coldCapacityShare,
                parameters.warmUpUs,
                parameters.coldLoadLimit,
                parameters.coldWindowUs,
                parameters.newConnectionCost,
                KeepAliveConnections.IDLE_TIMEOUT_US,
                rollout(parameters, stageCaps));
    }

    private static RolloutPolicy rollout(FleetParameters parameters, double[] stageCaps) {
        return new RolloutPolicy(
                RolloutPolicy.PromotionMode.COUNT,
                parameters.bakeTimeUs,
                SimulatedReleaseController.VOTE_LIFETIME_US,
                2 * VirtualClock.SECOND_US,
                stageCaps,
                0,
                false,
                false,
                parameters.freeCanaryAttempts,
                parameters.votesNeeded(parameters.rollbackShare),
                parameters.votesPerS,
                false);
    }
}
