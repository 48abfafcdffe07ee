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

/** Where bounds are crossed, with inputs small enough to see it by eye. */
class LadderTest {
    private static final List<Target.Step> STEPS =
            List.of(new Target.Step("1/100", 0.01), new Target.Step("1/10", 0.1), new Target.Step("1", 1));

    @TempDir
    private Path scratch;

    @Test
    void aFigureThatGrowsWithTheShareIsCrossedAtItsBound() {
        assertThat(Ladder.crossing(share -> 18 * share)).isCloseTo(1 / 18.0, within(1e-6));
        assertThat(Ladder.crossing(share -> 25 * share * share)).isCloseTo(0.2, within(1e-6));
    }

    @Test
    void oneThatFallsIsCrossedAtTheFirstShareOverIt() {
        assertThat(Ladder.crossing(share -> 0.01 / share)).isEqualTo(Ladder.LEAST);
    }

    @Test
    void oneThatStaysBelowIsNeverCrossedAndOneNotMeasuredIsSaidSo() {
        assertThat(Ladder.crossing(share -> 1)).isInfinite();
        assertThat(Ladder.crossing(share -> Double.NaN)).isNaN();
    }

    @Test
    void theStepIsTheFirstOverItsBound() {
        assertThat(Ladder.step(STEPS, new double[] {0.5, 1.5, 15})).isEqualTo("1/10");
        assertThat(Ladder.step(STEPS, new double[] {0.1, 0.5, 1})).isNull();
        assertThat(Ladder.step(STEPS, new double[] {2, 20, 200})).isEqualTo("1/100");
    }

    /** 1,000 endpoints of 20 bytes against 10,000 bytes: crossed at a half; with the mechanism 100 of them: never. */
    private Capacity capacity() throws IOException {
        Path slopes = scratch.resolve("slopes.json");
        Files.writeString(
                slopes,
                "{\"run\": {\"id\": \"r\"}, \"slopes\": [{\"name\": \"heapPerUnit\", \"slope\": 20, "
                        + "\"intercept\": 5}]}");
        Target target = new Target(
                Map.of("units", new Target.Input(1000, "units", true, false, "test")),
                Map.of(
                        "heap",
                        new Target.Bound(10_000.0, null, "bytes", "heap", false, false, "test"),
                        "few",
                        new Target.Bound(100.0, null, "units", "units", true, false, "test")),
                STEPS,
                List.of(),
                List.of());
        return new Capacity(
                target,
                Measured.read(slopes),
                new Lines(
                        new LinkedHashMap<>(Map.of("inScope", "min(units,100)")),
                        new LinkedHashMap<>(Map.of(
                                "day", new Lines.Load("a day", new LinkedHashMap<>(Map.of("reqs", "units/10"))))),
                        List.of(
                                line("late", "units*cpuPerBeatUs", "heap", null),
                                line("never", "units", "heap", null),
                                line("heap", "units*heapPerUnit", "heap", "inScope*heapPerUnit"),
                                line("early", "units*heapPerUnit0*10+0*reqs", "heap", "units*heapPerUnitOutOfScope"),
                                line("few", "units", "few", null))));
    }

    private static Lines.Line line(String id, String formula, String bound, String after) {
        return new Lines.Line(id, "relay", id, formula, "bytes", bound, null, null, "day", after, "nothing");
    }

    @Test
    void boundsStandInTheOrderInWhichTheyAreCrossed() throws IOException {
        List<Ladder.Rung> rungs = Ladder.climb(capacity());
        assertThat(rungs).extracting(r -> r.line().id()).containsExactly("few", "early", "heap", "never", "late");
        Ladder.Rung heap = rungs.get(2);
        assertThat(heap.crossed()).isCloseTo(0.5, within(1e-6));
        assertThat(heap.crossedAfter()).isInfinite();
        assertThat(heap.before()).containsExactly(0.02, 0.2, 2);
        assertThat(heap.after()).containsExactly(0.02, 0.2, 0.2);
        assertThat(rungs.get(1).crossed()).isCloseTo(0.2, within(1e-6));
        assertThat(rungs.get(1).crossedAfter()).isNaN();
        assertThat(rungs.get(4).crossed()).isNaN();
    }

    @Test
    void aBoundThatIsALeastIsOverWhereTheFigureIsBelowIt() throws IOException {
        Capacity capacity = capacity();
        Lines.Line few = capacity.lines().line("few");
        assertThat(capacity.figure(few, 1, "day").factor()).isEqualTo(0.1);
        assertThat(capacity.figure(few, 0.01, "day").over()).isTrue();
        assertThat(capacity.over()).extracting(Lines.Line::id).containsExactly("heap", "early");
    }

    @Test
    void timeAddedLiesBetweenTheRatesMeasuredAndIsNotKnownOutside() throws IOException {
        Path slopes = scratch.resolve("latency.json");
        Files.writeString(
                slopes,
                "{\"run\": {\"id\": \"r\"}, \"latency\": [{\"perS\": 100, \"p99Us\": 1000}, "
                        + "{\"perS\": 300, \"p99Us\": 3000}]}");
        Measured measured = Measured.read(slopes);
        assertThat(measured.addedP99Ms(100)).isEqualTo(1);
        assertThat(measured.addedP99Ms(200)).isEqualTo(2);
        assertThat(measured.addedP99Ms(400)).isNaN();
    }

    @Test
    void figuresAreWrittenWithThreePlacesThatCount() {
        assertThat(Table.figure(1234567)).isEqualTo("1,234,567");
        assertThat(Table.figure(0.012345)).isEqualTo("0.0123");
        assertThat(Table.figure(40)).isEqualTo("40");
        assertThat(Table.figure(Double.NaN)).isEqualTo("not measured");
        assertThat(Table.share(1 / 18.2)).isEqualTo("1/18");
        assertThat(Table.share(Double.POSITIVE_INFINITY)).isEqualTo("not crossed");
    }
}
