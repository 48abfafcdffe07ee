package gatelock.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * The outcomes of one time window, which is identified by its number. The static methods operate on several windows.
 */
record OutcomeWindow(long number, List<AttemptOutcome> outcomes) {

    /** Returns the number of outcomes in all windows. */
    static int size(List<OutcomeWindow> windows) {
        return windows.stream().mapToInt(window -> window.outcomes.size()).sum();
    }

    /** Returns all outcomes, window by window. */
    static Stream<AttemptOutcome> outcomes(List<OutcomeWindow> windows) {
        return windows.stream().flatMap(window -> window.outcomes.stream());
    }

    /** Returns the share of outcomes that failed; 0 if there are no outcomes. */
    static double errorShare(List<OutcomeWindow> windows) {
        return outcomes(windows).filter(AttemptOutcome::failed).count() / (double) Math.max(1, size(windows));
    }

    /** Returns the same windows without the outcomes of some endpoints. */
    static List<OutcomeWindow> without(List<OutcomeWindow> windows, List<Object> endpoints) {
        if (endpoints.isEmpty()) {
            return windows;
        }
        return windows.stream().map(window -> window.without(endpoints)).toList();
    }

    private OutcomeWindow without(List<Object> endpoints) {
        return new OutcomeWindow(
                number,
                outcomes.stream()
                        .filter(outcome -> !endpoints.contains(outcome.endpoint()))
                        .toList());
    }

    /**
     * Excludes a share of the endpoints, at least one, by cross-validation: the odd windows lose the endpoints that are
     * worst by a metric in the even windows, and vice versa. So no endpoint is excluded because of the outcomes that
     * are then examined. If each endpoint has few outcomes, that would exclude every outcome that is bad by chance.
     */
    static List<OutcomeWindow> withoutWorst(
            List<OutcomeWindow> windows, ToDoubleFunction<AttemptOutcome> metric, double share) {
        List<OutcomeWindow> even =
                windows.stream().filter(window -> window.number % 2 == 0).toList();
        List<OutcomeWindow> odd =
                windows.stream().filter(window -> window.number % 2 != 0).toList();
        List<OutcomeWindow> kept = new ArrayList<>(without(odd, worst(even, metric, share)));
        kept.addAll(without(even, worst(odd, metric, share)));
        return kept;
    }

    /** Returns the numbers of outcomes and of failures in each window. */
    static ErrorCount[] errorCounts(List<OutcomeWindow> windows) {
        return windows.stream().map(OutcomeWindow::errorCount).toArray(ErrorCount[]::new);
    }

    private ErrorCount errorCount() {
        return new ErrorCount(
                outcomes.size(),
                outcomes.stream().filter(AttemptOutcome::failed).count());
    }

    /** Returns a share of the endpoints that have outcomes, at least one: those with the highest mean of a metric. */
    static List<Object> worst(List<OutcomeWindow> windows, ToDoubleFunction<AttemptOutcome> metric, double share) {
        List<Object> all = worstFirst(windows, metric);
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) (all.size() * share))));
    }

    /** Returns the endpoints that have outcomes, in descending order of the mean of a metric. */
    static List<Object> worstFirst(List<OutcomeWindow> windows, ToDoubleFunction<AttemptOutcome> metric) {
        Map<Object, Mean> means = new LinkedHashMap<>();
        for (OutcomeWindow window : windows) {
            for (AttemptOutcome outcome : window.outcomes) {
                means.computeIfAbsent(outcome.endpoint(), endpoint -> new Mean())
                        .add(metric.applyAsDouble(outcome));
            }
        }
        List<Object> endpoints = new ArrayList<>(means.keySet());
        endpoints.sort(
                Comparator.comparingDouble(endpoint -> -means.get(endpoint).value()));
        return endpoints;
    }

    /** An incrementally computed mean. */
    private static final class Mean {
        private double sum;
        private double count;

        void add(double value) {
            sum += value;
            count += 1;
        }

        double value() {
            return sum / count;
        }
    }
}
