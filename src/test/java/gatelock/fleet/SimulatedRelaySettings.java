package gatelock.fleet;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import java.util.List;

/** The settings of the decision engines of simulated relays. */
final class SimulatedRelaySettings {
    private SimulatedRelaySettings() {}

    /**
     * Returns the settings of one process of a relay.
     *
     * @param relay the number of the relay
     * @param incarnation the number of the relay's process; each process has a different random seed
     * @param stageCaps for each stage, the maximum share of requests that may be sent to the canary
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
                parameters.canaryAttemptAllowance,
                parameters.votesNeeded(parameters.rollbackShare),
                parameters.votesPerS,
                false);
    }
}
