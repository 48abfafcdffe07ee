package gatelock.decision;

/**
 * What the exact binomial test of {@link EndpointCountAnalysis} can find with the outcomes that one relay sees. The
 * arithmetic is that of {@link Bootstrap}.
 */
public final class ExactIntervalTable {

    private ExactIntervalTable() {}

    /** How often one relay may be wrong, so that a quorum of so many relays is wrong together only so rarely. */
    public static double errorLevel(double quorumErrorProbability, int relays, int quorum) {
        return Math.exp(Bootstrap.logErrorLevel(quorumErrorProbability, relays, Math.max(1, quorum)));
    }

    /** The binomial probability of at least so many cases in so many trials. */
    public static double binomialTail(int trials, int successes, double probability) {
        return Bootstrap.binomialTail(trials, successes, probability);
    }

    /** The fewest endpoints past the bar, two at least, that are rarer than the level among so many outcomes. */
    public static int minEndpointsAboveThreshold(int outcomes, double threshold, double level) {
        int endpoints = 2;
        while (endpoints <= outcomes && Bootstrap.binomialTail(outcomes, endpoints, threshold) >= level) {
            endpoints++;
        }
        return endpoints;
    }

    /** How likely it is that a build with such a share of errors is found, its outcomes spread evenly over endpoints. */
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

    /** The fewest outcomes with which such a build is found with this probability; -1 if {@code max} are too few. */
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
