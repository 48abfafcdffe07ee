package gatelock.api;

/**
 * How builds are released in a deployment.
 *
 * @param gatekeeping what promotes a build to its next stage
 * @param leastUs the minimum duration of a stage, in microseconds
 * @param voteLifeUs how long a vote counts, in microseconds
 * @param voteWaitUs how long the answer to a vote is waited for, in microseconds
 * @param caps for each stage, the share of the requests that the canary may receive, from 0 to 1
 * @param guardedStages the number of stages, from the first, in which the canary receives only idempotent requests
 * @param perRoute whether the cap holds for each route by itself, not for all requests together
 * @param oneWay whether requests with a key that a build has served must not go to an earlier build, unless that
 *     build was rolled back
 * @param free the attempts that the canary may receive beyond the cap within any window
 * @param backVotes the number of votes that rolls a build back
 * @param votesPerS the votes per second that the release controller accepts from all relays together
 * @param counts whether the release controller sends samples of the attempts of all relays
 */
@SuppressWarnings("ArrayRecordComponent") // Written once, as the settings are read; never compared, never a key.
public record RolloutPolicy(
        Gatekeeping gatekeeping,
        long leastUs,
        long voteLifeUs,
        long voteWaitUs,
        double[] caps,
        int guardedStages,
        boolean perRoute,
        boolean oneWay,
        double free,
        int backVotes,
        double votesPerS,
        boolean counts) {

    /** What promotes a build to its next stage. */
    public enum Gatekeeping {
        /** The first vote. */
        FIRST_VOICE,
        /** A number of votes. */
        COUNT,
        /** The time that the stage has lasted. */
        CLOCK
    }
}
