package gatelock.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Mean times of outcomes by machine kind and by load, in steps of one. */
final class LatencyByLoad {
    private static final int ANY_KIND = -1;
    private final int steps;
    private final int fewest;
    private final Map<Integer, double[][]> sums = new HashMap<>();

    LatencyByLoad(List<OutcomeWindow> slices, int steps, int fewest) {
        this.steps = steps;
        this.fewest = fewest;
        for (OutcomeWindow s : slices) {
            for (AttemptOutcome o : s.outcomes()) {
                for (int kind : new int[] {ANY_KIND, o.kind()}) {
                    double[][] table = sums.computeIfAbsent(kind, k -> new double[2][steps]);
                    table[0][step(o)] += o.failed() ? 0 : o.slowness();
                    table[1][step(o)] += o.failed() ? 0 : 1;
                }
            }
        }
    }

    /** The mean under about this outcome's load, of its kind or else of any; NaN where too few are known. */
    double usual(AttemptOutcome o) {
        double own = usual(o.kind(), step(o));
        return Double.isNaN(own) ? usual(ANY_KIND, step(o)) : own;
    }

    /**
     * Rows {slowness against the usual under like load, slice}, highest first, of endpoints older than so long.
     * Where the earlier build never had as many in flight there is none: a canary endpoint that the cap fills
     * fuller proves nothing by that.
     */
    double[][] against(List<OutcomeWindow> slices, long warmUs) {
        List<double[]> rows = new ArrayList<>();
        for (int i = 0; i < slices.size(); i++) {
            for (AttemptOutcome o : slices.get(i).outcomes()) {
                double usual = usual(o);
                if (!o.failed() && !Double.isNaN(usual) && o.ageUs() > warmUs) {
                    rows.add(new double[] {o.slowness() / usual, i});
                }
            }
        }
        rows.sort((a, b) -> Double.compare(b[0], a[0]));
        return rows.toArray(new double[0][]);
    }

    private int step(AttemptOutcome o) {
        return Math.min(steps - 1, (int) o.load());
    }

    /** From one step below upwards, until enough are found. */
    private double usual(int kind, int at) {
        double sum = 0;
        double n = 0;
        double[][] table = sums.getOrDefault(kind, new double[2][steps]);
        for (int i = Math.max(0, at - 1); i < steps && (n < fewest || i <= at + 1); i++) {
            sum += table[0][i];
            n += table[1][i];
        }
        return n < fewest ? Double.NaN : sum / n;
    }
}
