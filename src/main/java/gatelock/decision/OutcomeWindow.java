package gatelock.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** The outcomes of one slice of time, by the slice's number; the static methods ask about several slices. */
record OutcomeWindow(long number, List<AttemptOutcome> outcomes) {

    /** How many outcomes there are in all slices. */
    static int size(List<OutcomeWindow> windows) {
        return windows.stream().mapToInt(window -> window.outcomes.size()).sum();
    }

    /** All outcomes, slice by slice. */
    static Stream<AttemptOutcome> outcomes(List<OutcomeWindow> windows) {
        return windows.stream().flatMap(window -> window.outcomes.stream());
    }

    /** The share of outcomes that failed; 0 where there are none. */
    static double errorShare(List<OutcomeWindow> windows) {
        return outcomes(windows).filter(AttemptOutcome::failed).count() / (double) Math.max(1, size(windows));
    }

    /** The same slices without the outcomes of some endpoints. */
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
     * Without a share of the endpoints, one at least: from the odd slices those are left out that are worst by a figure in
     * the even ones, and the other way round. So no endpoint is left out for the very outcomes that are looked at: where
     * each has few, that would leave out every outcome that is bad by chance.
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

    /** Outcomes and failures of each slice. */
    static ErrorCount[] errorCounts(List<OutcomeWindow> windows) {
        return windows.stream().map(OutcomeWindow::errorCount).toArray(ErrorCount[]::new);
    }

    private ErrorCount errorCount() {
        return new ErrorCount(
                outcomes.size(),
                outcomes.stream().filter(AttemptOutcome::failed).count());
    }

    /** A share of the endpoints with outcomes, one at least: those with the highest mean of a figure. */
    static List<Object> worst(List<OutcomeWindow> windows, ToDoubleFunction<AttemptOutcome> metric, double share) {
        List<Object> all = worstFirst(windows, metric);
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) (all.size() * share))));
    }

    /** The endpoints with outcomes, ordered from the highest mean of a figure to the lowest. */
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

    /** A mean that values are added to. */
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
