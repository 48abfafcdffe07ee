package gatelock.decision;

/**
 * What the exact binomial test of {@link EndpointCountAnalysis} can find with the outcomes that one relay sees. The
 * arithmetic is that of {@link Bootstrap}.
 */
public final class ExactIntervalTable {

    private ExactIntervalTable() {}

    /** How often one relay may be wrong, so that a quorum of so many relays is wrong together only so rarely. */
    public static double errorLevel(double together, int relays, int quorum) {
        return Math.exp(Bootstrap.logErrorLevel(together, relays, Math.max(1, quorum)));
    }

    /** The binomial probability of at least so many cases in so many trials. */
    public static double binomialTail(int trials, int cases, double probability) {
        return Bootstrap.binomialTail(trials, cases, probability);
    }

    /** The fewest endpoints past the bar, two at least, that are rarer than the level among so many outcomes. */
    public static int minEndpointsPastBar(int outcomes, double bar, double level) {
        int cases = 2;
        while (cases <= outcomes && Bootstrap.binomialTail(outcomes, cases, bar) >= level) {
            cases++;
        }
        return cases;
    }

    /** How likely it is that a build with such a share of errors is found, its outcomes spread evenly over endpoints. */
    public static double detectionProbability(
            int outcomes, int endpoints, double errorShare, double bar, double level) {
        int endpointsSeen = Math.min(outcomes, endpoints);
        int cases = minEndpointsPastBar(outcomes, bar, level);
        double outcomesPerEndpoint = Math.max(1, (double) outcomes / endpoints);
        double probability = 1 - Math.pow(1 - errorShare, outcomesPerEndpoint);
        return cases > endpointsSeen ? 0 : Bootstrap.binomialTail(endpointsSeen, cases, probability);
    }

    /** The fewest outcomes with which such a build is found with this probability; -1 if {@code max} are too few. */
    public static int minOutcomesToDetect(
            int endpoints, double errorShare, double bar, double level, double probability, int max) {
        for (int outcomes = 2; outcomes <= max; outcomes++) {
            if (detectionProbability(outcomes, endpoints, errorShare, bar, level) >= probability) {
                return outcomes;
            }
        }
        return -1;
    }
}
