package gatelock.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** The outcomes of one span of time, and what can be asked of some. */
record OutcomeWindow(long number, List<AttemptOutcome> outcomes) {

    static int seen(List<OutcomeWindow> slices) {
        return slices.stream().mapToInt(s -> s.outcomes.size()).sum();
    }

    static Stream<AttemptOutcome> outcomes(List<OutcomeWindow> slices) {
        return slices.stream().flatMap(s -> s.outcomes.stream());
    }

    /** The share of outcomes that failed. */
    static double errors(List<OutcomeWindow> slices) {
        return outcomes(slices).filter(AttemptOutcome::failed).count() / (double) Math.max(1, seen(slices));
    }

    static List<OutcomeWindow> without(List<OutcomeWindow> slices, List<Object> endpoints) {
        return endpoints.isEmpty()
                ? slices
                : slices.stream()
                        .map(s -> new OutcomeWindow(
                                s.number,
                                s.outcomes.stream()
                                        .filter(o -> !endpoints.contains(o.endpoint()))
                                        .toList()))
                        .toList();
    }

    /**
     * Without a share of the endpoints, one at least: those worst by a figure in every other slice, and in the
     * rest those worst in these. So none is left out for the very outcomes that are looked at: of few an endpoint,
     * that would leave out any outcome that is bad by chance.
     */
    static List<OutcomeWindow> withoutWorst(
            List<OutcomeWindow> slices, ToDoubleFunction<AttemptOutcome> figure, double share) {
        List<OutcomeWindow> kept = new ArrayList<>();
        for (int half = 0; half < 2; half++) {
            int number = half;
            kept.addAll(without(
                    slices.stream().filter(s -> s.number % 2 != number).toList(),
                    worst(slices.stream().filter(s -> s.number % 2 == number).toList(), figure, share)));
        }
        return kept;
    }

    /** Rows {outcomes, failed}, one a slice. */
    static long[][] counts(List<OutcomeWindow> slices) {
        return slices.stream()
                .map(s -> new long[] {
                    s.outcomes.size(),
                    s.outcomes.stream().filter(AttemptOutcome::failed).count()
                })
                .toArray(long[][]::new);
    }

    /** A share of the endpoints with outcomes, one at least: those with the highest mean of a figure. */
    static List<Object> worst(List<OutcomeWindow> slices, ToDoubleFunction<AttemptOutcome> figure, double share) {
        List<Object> all = worst(slices, figure);
        return all.subList(0, Math.min(all.size(), Math.max(1, (int) (all.size() * share))));
    }

    /** The endpoints with outcomes, those first whose outcomes have the highest mean of a figure. */
    static List<Object> worst(List<OutcomeWindow> slices, ToDoubleFunction<AttemptOutcome> figure) {
        Map<Object, double[]> sums = new LinkedHashMap<>();
        for (OutcomeWindow s : slices) {
            for (AttemptOutcome o : s.outcomes) {
                double[] sum = sums.computeIfAbsent(o.endpoint(), u -> new double[2]);
                sum[0] += figure.applyAsDouble(o);
                sum[1] += 1;
            }
        }
        List<Object> found = new ArrayList<>(sums.keySet());
        found.sort(Comparator.comparingDouble(u -> -sums.get(u)[0] / sums.get(u)[1]));
        return found;
    }
}
