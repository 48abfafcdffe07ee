package gatelock.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The mean slowness of a build's outcomes by machine kind and by load, in steps of one request in flight. */
final class LatencyByLoad {
    private static final int ANY_KIND = -1;

    /** Loads of this many requests in flight and more count as one. */
    private static final int LOAD_STEPS = 24;

    private final int minOutcomes;
    private final Map<Integer, Table> tables = new HashMap<>();

    /** Takes the successful outcomes of these slices; a mean needs so many outcomes. */
    LatencyByLoad(List<OutcomeWindow> windows, int minOutcomes) {
        this.minOutcomes = minOutcomes;
        for (OutcomeWindow window : windows) {
            for (AttemptOutcome outcome : window.outcomes()) {
                if (!outcome.failed()) {
                    table(ANY_KIND).add(outcome);
                    table(outcome.kind()).add(outcome);
                }
            }
        }
    }

    private Table table(int kind) {
        return tables.computeIfAbsent(kind, k -> new Table());
    }

    /** The mean under about this outcome's load, of its machine kind or else of any; NaN where too few are known. */
    double usual(AttemptOutcome outcome) {
        double ofKind = usual(outcome.kind(), step(outcome));
        return Double.isNaN(ofKind) ? usual(ANY_KIND, step(outcome)) : ofKind;
    }

    /**
     * The slowness of successful outcomes at endpoints older than {@code warmUs}, relative to the usual one under like
     * load, highest first. Where the earlier build never had as many in flight there is none: a canary endpoint that the
     * cap fills fuller proves nothing by that.
     */
    RelativeLatency[] relativeTo(List<OutcomeWindow> windows, long warmUs) {
        List<RelativeLatency> latencies = new ArrayList<>();
        for (int slice = 0; slice < windows.size(); slice++) {
            for (AttemptOutcome outcome : windows.get(slice).outcomes()) {
                double usual = usual(outcome);
                if (!outcome.failed() && !Double.isNaN(usual) && outcome.ageUs() > warmUs) {
                    latencies.add(new RelativeLatency(outcome.slowness() / usual, slice));
                }
            }
        }
        latencies.sort(Comparator.comparingDouble(RelativeLatency::value).reversed());
        return latencies.toArray(RelativeLatency[]::new);
    }

    private static int step(AttemptOutcome outcome) {
        return Math.min(LOAD_STEPS - 1, (int) outcome.load());
    }

    /** From one step below the given one upwards, until enough outcomes are found. */
    private double usual(int kind, int step) {
        Table table = tables.get(kind);
        if (table == null) {
            return Double.NaN;
        }
        double sum = 0;
        double count = 0;
        for (int i = Math.max(0, step - 1); i < LOAD_STEPS && (count < minOutcomes || i <= step + 1); i++) {
            sum += table.sums[i];
            count += table.counts[i];
        }
        return count < minOutcomes ? Double.NaN : sum / count;
    }

    /** Sum of slowness and number of outcomes by load. */
    private static final class Table {
        private final double[] sums = new double[LOAD_STEPS];
        private final double[] counts = new double[LOAD_STEPS];

        void add(AttemptOutcome outcome) {
            sums[step(outcome)] += outcome.slowness();
            counts[step(outcome)] += 1;
        }
    }
}
