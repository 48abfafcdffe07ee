package gatelock.decision;

/**
 * What one relay's exact interval can find, as {@link EndpointCountAnalysis} asks it: so many outcomes, of which so many
 * endpoints were past a bar. The arithmetic is that of {@link Bootstrap}.
 */
public final class ExactIntervalTable {

    private ExactIntervalTable() {}

    /** How often one relay of some may be wrong, so that as many voices as asked for are together wrong so rarely. */
    public static double level(double together, int relays, int voices) {
        return Math.exp(Bootstrap.logErrorLevel(together, relays, Math.max(1, voices)));
    }

    /** The probability of at least so many cases, each as likely and by itself. */
    public static double tail(int among, int cases, double each) {
        return Bootstrap.binomialTail(among, cases, each);
    }

    /** The fewest endpoints past the bar, two at least, that among so many outcomes are rarer than the level. */
    public static int fewestPast(int seen, double bar, double level) {
        int cases = 2;
        while (cases <= seen && Bootstrap.binomialTail(seen, cases, bar) >= level) {
            cases++;
        }
        return cases;
    }

    /** How likely it is that a build with such a share of errors is found, outcomes lying evenly over its endpoints. */
    public static double found(int seen, int endpoints, double errors, double bar, double level) {
        int among = Math.min(seen, endpoints);
        int cases = fewestPast(seen, bar, level);
        double each = 1 - Math.pow(1 - errors, Math.max(1, (double) seen / endpoints));
        return cases > among ? 0 : Bootstrap.binomialTail(among, cases, each);
    }

    /** The fewest outcomes with which it is found so likely; -1: not with up to so many. */
    public static int outcomesNeeded(int endpoints, double errors, double bar, double level, double likely, int most) {
        for (int seen = 2; seen <= most; seen++) {
            if (found(seen, endpoints, errors, bar, level) >= likely) {
                return seen;
            }
        }
        return -1;
    }
}
