package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong shares at which bounds are crossed, with inputs small enough to verify by hand. */
class ScaleLadderTest {
    private static final List<CapacityTarget.Step> STEPS = List.of(
            new CapacityTarget.Step("1/100", 0.01),
            new CapacityTarget.Step("1/10", 0.1),
            new CapacityTarget.Step("1", 1));

    @TempDir
    private Path directory;

    @Test
    void findsShareWhereGrowingRatioExceedsOne() {
        assertThat(ScaleLadder.crossing(share -> 18 * share)).isCloseTo(1 / 18.0, within(1e-6));
        assertThat(ScaleLadder.crossing(share -> 25 * share * share)).isCloseTo(0.2, within(1e-6));
    }

    @Test
    void returnsSmallestShareForFallingRatio() {
        assertThat(ScaleLadder.crossing(share -> 0.01 / share)).isEqualTo(ScaleLadder.MIN_SHARE);
    }

    @Test
    void returnsInfinityForUncrossedBoundAndNanForUnmeasuredRatio() {
        assertThat(ScaleLadder.crossing(share -> 1)).isInfinite();
        assertThat(ScaleLadder.crossing(share -> Double.NaN)).isNaN();
    }

    @Test
    void findsFirstStepOverBound() {
        assertThat(ScaleLadder.firstStepOver(STEPS, List.of(0.5, 1.5, 15.0))).contains("1/10");
        assertThat(ScaleLadder.firstStepOver(STEPS, List.of(0.1, 0.5, 1.0))).isEmpty();
        assertThat(ScaleLadder.firstStepOver(STEPS, List.of(2.0, 20.0, 200.0))).contains("1/100");
    }

    /**
     * Returns an evaluator in which 1,000 endpoints of 20 bytes have a bound of 10,000 bytes, which they cross at half
     * of the target. With membership by scope a relay holds at most 100 endpoints and never crosses the bound.
     */
    private CapacityEvaluator evaluator() throws IOException {
        Path slopes = directory.resolve("slopes.json");
        Files.writeString(
                slopes,
                "{\"run\": {\"id\": \"r\"}, \"slopes\": [{\"name\": \"heapPerUnit\", \"slope\": 20, "
                        + "\"intercept\": 5}]}");
        CapacityTarget target = new CapacityTarget(
                Map.of("units", new CapacityTarget.Input(1000, "units", true, false, "test")),
                Map.of(
                        "heap",
                        new CapacityTarget.Bound(10_000.0, null, "bytes", "heap", false, false, "test"),
                        "few",
                        new CapacityTarget.Bound(100.0, null, "units", "units", true, false, "test")),
                STEPS,
                List.of(),
                List.of());
        return new CapacityEvaluator(
                target,
                MeasurementRun.read(slopes),
                new CapacityModel(
                        new LinkedHashMap<>(Map.of("inScope", "min(units,100)")),
                        new LinkedHashMap<>(Map.of(
                                "day",
                                new CapacityModel.Load("a day", new LinkedHashMap<>(Map.of("reqs", "units/10"))))),
                        List.of(
                                metric("late", "units*cpuPerBeatUs", "heap", null),
                                metric("never", "units", "heap", null),
                                metric("heap", "units*heapPerUnit", "heap", "inScope*heapPerUnit"),
                                metric("early", "units*heapPerUnit0*10+0*reqs", "heap", "units*heapPerUnitOutOfScope"),
                                metric("few", "units", "few", null))));
    }

    private static CapacityModel.Metric metric(String id, String formula, String bound, String formulaWithSubsets) {
        return new CapacityModel.Metric(
                id, "relay", id, formula, "bytes", bound, null, null, "day", formulaWithSubsets, "nothing");
    }

    @Test
    void sortsScalingCurvesByShareAtCrossing() throws IOException {
        List<ScaleLadder.ScalingCurve> curves = ScaleLadder.scalingCurves(evaluator());
        assertThat(curves).extracting(r -> r.metric().id()).containsExactly("few", "early", "heap", "never", "late");
        ScaleLadder.ScalingCurve heap = curves.get(2);
        assertThat(heap.crossedAt()).isCloseTo(0.5, within(1e-6));
        assertThat(heap.crossedAtWithSubsets()).isInfinite();
        assertThat(heap.ratios()).containsExactly(0.02, 0.2, 2.0);
        assertThat(heap.ratiosWithSubsets()).containsExactly(0.02, 0.2, 0.2);
        assertThat(curves.get(1).crossedAt()).isCloseTo(0.2, within(1e-6));
        assertThat(curves.get(1).crossedAtWithSubsets()).isNaN();
        assertThat(curves.get(4).crossedAt()).isNaN();
    }

    @Test
    void reportsMinimumCrossedWhenValueIsBelow() throws IOException {
        CapacityEvaluator evaluator = evaluator();
        CapacityModel.Metric few = evaluator.model().metric("few");
        assertThat(evaluator.evaluate(few, 1, "day").ratio()).isEqualTo(0.1);
        assertThat(evaluator.evaluate(few, 0.01, "day").isOverBound()).isTrue();
        assertThat(evaluator.metricsOverBound())
                .extracting(CapacityModel.Metric::id)
                .containsExactly("heap", "early");
    }

    @Test
    void interpolatesAddedLatencyOnlyBetweenMeasuredRates() throws IOException {
        Path slopes = directory.resolve("latency.json");
        Files.writeString(
                slopes,
                "{\"run\": {\"id\": \"r\"}, \"latency\": [{\"perS\": 100, \"p99Us\": 1000}, "
                        + "{\"perS\": 300, \"p99Us\": 3000}]}");
        MeasurementRun measured = MeasurementRun.read(slopes);
        assertThat(measured.addedP99Ms(100)).isEqualTo(1);
        assertThat(measured.addedP99Ms(200)).isEqualTo(2);
        assertThat(measured.addedP99Ms(400)).isNaN();
    }

    @Test
    void formatsFiguresWithThreeSignificantDigits() {
        assertThat(MarkdownTable.figure(1234567)).isEqualTo("1,234,567");
        assertThat(MarkdownTable.figure(0.012345)).isEqualTo("0.0123");
        assertThat(MarkdownTable.figure(40)).isEqualTo("40");
        assertThat(MarkdownTable.figure(Double.NaN)).isEqualTo("not measured");
        assertThat(MarkdownTable.share(1 / 18.2)).isEqualTo("1/18");
        assertThat(MarkdownTable.share(Double.POSITIVE_INFINITY)).isEqualTo("not crossed");
    }
}
