package gatelock.decision;

/**
 * Computes which builds the exact binomial test of {@link EndpointCountAnalysis} can detect from the outcomes that one
 * relay sees. The calculations are those of {@link Bootstrap}.
 */
public final class ExactIntervalTable {

    private ExactIntervalTable() {}

    /**
     * Returns the probability with which one relay may be wrong, so that a quorum of the relays is wrong together with
     * at most the given probability.
     */
    public static double errorLevel(double quorumErrorProbability, int relays, int quorum) {
        return Math.exp(Bootstrap.logErrorLevel(quorumErrorProbability, relays, Math.max(1, quorum)));
    }

    /** Returns the binomial probability of at least this number of successes. */
    public static double binomialTail(int trials, int successes, double probability) {
        return Bootstrap.binomialTail(trials, successes, probability);
    }

    /**
     * Returns the smallest number of endpoints above the threshold, at least two, that is less probable than the level.
     */
    public static int minEndpointsAboveThreshold(int outcomes, double threshold, double level) {
        int endpoints = 2;
        while (endpoints <= outcomes && Bootstrap.binomialTail(outcomes, endpoints, threshold) >= level) {
            endpoints++;
        }
        return endpoints;
    }

    /**
     * Returns the probability that a build with this error share is detected, if its outcomes are spread evenly over
     * the endpoints.
     */
    public static double detectionProbability(
            int outcomes, int endpoints, double errorShare, double threshold, double level) {
        int endpointsSeen = Math.min(outcomes, endpoints);
        int requiredEndpoints = minEndpointsAboveThreshold(outcomes, threshold, level);
        double outcomesPerEndpoint = Math.max(1, (double) outcomes / endpoints);
        double probability = 1 - Math.pow(1 - errorShare, outcomesPerEndpoint);
        return requiredEndpoints > endpointsSeen
                ? 0
                : Bootstrap.binomialTail(endpointsSeen, requiredEndpoints, probability);
    }

    /**
     * Returns the smallest number of outcomes with which such a build is detected with this probability, or -1 if even
     * {@code maxOutcomes} are not enough.
     */
    public static int minOutcomesToDetect(
            int endpoints, double errorShare, double threshold, double level, double probability, int maxOutcomes) {
        for (int outcomes = 2; outcomes <= maxOutcomes; outcomes++) {
            if (detectionProbability(outcomes, endpoints, errorShare, threshold, level) >= probability) {
                return outcomes;
            }
        }
        return -1;
    }
}
