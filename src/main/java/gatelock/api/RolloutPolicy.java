package gatelock.api;

/**
 * How builds are released in a deployment.
 *
 * @param promotionMode what promotes a build to its next stage
 * @param minStageUs the minimum duration of a stage, in microseconds
 * @param voteTtlUs how long a vote is valid, in microseconds
 * @param voteTimeoutUs how long a relay waits for the answer to a vote, in microseconds
 * @param stageCaps for each stage, the share of the requests that the canary may receive, from 0 to 1
 * @param guardedStages the number of stages, from the first, in which the canary receives only idempotent requests
 * @param capPerRoute whether the cap applies to each route separately instead of to all requests together
 * @param forwardOnly whether requests with a key that a build has served must not go to an earlier build, unless that
 *     build was rolled back
 * @param freeAttempts the attempts that the canary may receive in addition to the cap within any window
 * @param rollbackVotes the number of votes that roll a build back
 * @param maxVotesPerS the votes per second that the release controller accepts from all relays together
 * @param fleetSamplesSent whether the release controller sends samples of the attempts of all relays
 */
@SuppressWarnings("ArrayRecordComponent") // Written once, as the settings are read; never compared, never a key.
public record RolloutPolicy(
        PromotionMode promotionMode,
        long minStageUs,
        long voteTtlUs,
        long voteTimeoutUs,
        double[] stageCaps,
        int guardedStages,
        boolean capPerRoute,
        boolean forwardOnly,
        double freeAttempts,
        int rollbackVotes,
        double maxVotesPerS,
        boolean fleetSamplesSent) {

    /** What promotes a build to its next stage. */
    public enum PromotionMode {
        /** The first vote. */
        FIRST_VOICE,
        /** A number of votes. */
        COUNT,
        /** The time that the stage has lasted. */
        CLOCK
    }
}
