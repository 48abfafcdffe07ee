package gatelock.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The mean slowness of a build's outcomes by instance type and by load. A load bucket is one request in flight wide.
 */
final class LatencyByLoad {
    private static final int ANY_INSTANCE_TYPE = -1;

    /** The number of load buckets; the last one also contains all higher loads. */
    private static final int LOAD_BUCKETS = 24;

    private final int minOutcomes;
    private final Map<Integer, Table> tables = new HashMap<>();

    /** Creates the means of the successful outcomes in these windows; a mean needs {@code minOutcomes} outcomes. */
    LatencyByLoad(List<OutcomeWindow> windows, int minOutcomes) {
        this.minOutcomes = minOutcomes;
        for (OutcomeWindow window : windows) {
            for (AttemptOutcome outcome : window.outcomes()) {
                if (!outcome.failed()) {
                    table(ANY_INSTANCE_TYPE).add(outcome);
                    table(outcome.instanceType()).add(outcome);
                }
            }
        }
    }

    private Table table(int instanceType) {
        return tables.computeIfAbsent(instanceType, k -> new Table());
    }

    /**
     * Returns the mean under a load similar to that of this outcome, for its instance type or else for all types; NaN
     * if there are too few outcomes.
     */
    double baseline(AttemptOutcome outcome) {
        double ofInstanceType = baseline(outcome.instanceType(), bucket(outcome));
        return Double.isNaN(ofInstanceType) ? baseline(ANY_INSTANCE_TYPE, bucket(outcome)) : ofInstanceType;
    }

    /**
     * Returns the slowness of successful outcomes at endpoints older than {@code warmUpUs}, relative to the baseline
     * under similar load, in descending order. Outcomes under a load that the earlier build never had are excluded, as
     * a canary endpoint with a higher load because of the cap is no evidence of a slow build.
     */
    RelativeLatency[] relativeTo(List<OutcomeWindow> windows, long warmUpUs) {
        List<RelativeLatency> latencies = new ArrayList<>();
        for (int windowIndex = 0; windowIndex < windows.size(); windowIndex++) {
            for (AttemptOutcome outcome : windows.get(windowIndex).outcomes()) {
                double baseline = baseline(outcome);
                if (!outcome.failed() && !Double.isNaN(baseline) && outcome.ageUs() > warmUpUs) {
                    latencies.add(new RelativeLatency(outcome.slowness() / baseline, windowIndex));
                }
            }
        }
        latencies.sort(Comparator.comparingDouble(RelativeLatency::value).reversed());
        return latencies.toArray(RelativeLatency[]::new);
    }

    private static int bucket(AttemptOutcome outcome) {
        return Math.min(LOAD_BUCKETS - 1, (int) outcome.load());
    }

    /** Returns the mean from one bucket below the given one upwards, until enough outcomes are found. */
    private double baseline(int instanceType, int bucket) {
        Table table = tables.get(instanceType);
        if (table == null) {
            return Double.NaN;
        }
        double sum = 0;
        double count = 0;
        for (int i = Math.max(0, bucket - 1); i < LOAD_BUCKETS && (count < minOutcomes || i <= bucket + 1); i++) {
            sum += table.sums[i];
            count += table.counts[i];
        }
        return count < minOutcomes ? Double.NaN : sum / count;
    }

    /** The sum of slowness and the number of outcomes, by load bucket. */
    private static final class Table {
        private final double[] sums = new double[LOAD_BUCKETS];
        private final double[] counts = new double[LOAD_BUCKETS];

        void add(AttemptOutcome outcome) {
            sums[bucket(outcome)] += outcome.slowness();
            counts[bucket(outcome)] += 1;
        }
    }
}
