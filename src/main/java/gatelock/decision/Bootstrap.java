package gatelock.decision;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Statistics over slices redrawn with repeats; a figure is given how often each slice was drawn. */
final class Bootstrap {

    private Bootstrap() {}

    /**
     * The lower and the upper end of a figure, with a share left out at either end, the lower one so many
     * times as far from the middle.
     */
    static double[] interval(
            int slices,
            int draws,
            double tail,
            double stretch,
            RandomGenerator chance,
            ToDoubleFunction<int[]> figure) {
        double[] found = new double[draws];
        for (int d = 0; d < draws; d++) {
            int[] times = new int[slices];
            for (int i = 0; i < slices; i++) {
                times[chance.nextInt(slices)]++;
            }
            found[d] = figure.applyAsDouble(times);
        }
        Arrays.sort(found);
        int cut = (int) (draws * tail);
        double middle = found[draws / 2];
        return new double[] {middle - (middle - found[cut]) * stretch, found[draws - 1 - cut]};
    }

    /** Each of so many slices drawn once: the figure as it was seen. */
    static int[] once(int slices) {
        int[] times = new int[slices];
        Arrays.fill(times, 1);
        return times;
    }

    /** The share of the second column in the first, rows counted so many times. */
    static double share(long[][] counts, int[] times) {
        double all = 0;
        double part = 0;
        for (int i = 0; i < times.length; i++) {
            all += times[i] * counts[i][0];
            part += times[i] * counts[i][1];
        }
        return part / Math.max(1, all);
    }

    /** The percentile of rows {value, slice}, highest first, each counted as often as its slice. */
    static double percentile(double[][] rows, int[] times, double at) {
        double all = 0;
        for (double[] row : rows) {
            all += times[(int) row[1]];
        }
        double above = 0;
        for (double[] row : rows) {
            above += times[(int) row[1]];
            if (above > 0 && above >= all * (1 - at)) {
                return row[0];
            }
        }
        return 0;
    }

    /** The probability of at least so many cases, each as likely and by itself. */
    static double tail(int among, int cases, double each) {
        double term = Math.pow(1 - each, among);
        double below = 0;
        for (int i = 0; i < cases; i++) {
            below += term;
            term *= (among - i) / (i + 1.0) * each / (1 - each);
        }
        return 1 - below;
    }

    /**
     * The logarithm of how often one of some may be wrong by chance, so that as many as are asked for are
     * wrong together no more often than given.
     */
    static double logLevel(double together, int some, int askedFor) {
        double logP = Math.log(together);
        for (int i = 0; i < Math.min(askedFor, some); i++) {
            logP -= Math.log((some - i) / (i + 1.0));
        }
        return logP / askedFor;
    }

    /** How many standard deviations leave a probability, given by its logarithm, at one end of a normal. */
    static double normalWidth(double logProbability) {
        double t = Math.sqrt(-2 * Math.min(-1, logProbability));
        return t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t);
    }
}
