package gatelock.api;

/**
 * How builds are released here. {@code leastUs} is a stage's least time; {@code caps} gives each stage's
 * share of the requests; {@code free} tries come on top of the share within any window. {@code backVotes} relays
 * send a build back; the release controller takes {@code votesPerS} from all; {@code counts} tells that it sends sampled
 * counts.
 */
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

    /** What moves a stage on: the first voice, a count of voices, or the clock. */
    public enum Gatekeeping {
        FIRST_VOICE,
        COUNT,
        CLOCK
    }
}
