package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Guards against wrong slopes, intercepts and residuals of fitted lines. */
class FitTest {
    private static Fit.Point point(double x, double y) {
        return new Fit.Point(x, y);
    }

    @Test
    void fitsPointsOnLineExactly() {
        Fit fit = Fit.through(List.of(point(1_000, 2_500), point(10_000, 20_500), point(100_000, 200_500)));
        assertThat(fit.slope()).isCloseTo(2, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(500, within(1e-6));
        assertThat(fit.residual()).isCloseTo(0, within(1e-9));
    }

    @Test
    void reportsLargestRelativeDistanceAsResidual() {
        // Means of x and y: 2 and 20/3; slope: 8/2 = 4; intercept: -4/3; values of the line at 1, 2, 3: 8/3, 20/3,
        // 32/3.
        Fit fit = Fit.through(List.of(point(1, 4), point(2, 4), point(3, 12)));
        assertThat(fit.slope()).isCloseTo(4, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(-4 / 3.0, within(1e-9));
        assertThat(fit.residual()).isCloseTo((4 - 8 / 3.0) / (8 / 3.0), within(1e-9));
    }

    @Test
    void fitsHorizontalLineWithZeroSlope() {
        assertThat(Fit.through(List.of(point(1, 7), point(2, 7), point(9, 7)))).isEqualTo(new Fit(0, 7, 0));
    }

    @Test
    void rejectsPointsWithSingleValueOfX() {
        assertThatThrownBy(() -> Fit.through(List.of(point(1, 4), point(1, 5))))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void fitsPairsLikePoints() {
        assertThat(Fit.of(List.of(new double[] {1, 4}, new double[] {2, 4}, new double[] {3, 12})))
                .isEqualTo(Fit.through(List.of(point(1, 4), point(2, 4), point(3, 12))));
    }

    @Property
    void recoversLineFromItsPoints(
            @ForAll @DoubleRange(min = -1e6, max = 1e6) double slope,
            @ForAll @DoubleRange(min = -1e6, max = 1e6) double intercept) {
        Fit fit = Fit.through(List.of(
                point(1, intercept + slope), point(3, intercept + 3 * slope), point(10, intercept + 10 * slope)));
        assertThat(fit.slope()).isCloseTo(slope, within(1e-6));
        assertThat(fit.intercept()).isCloseTo(intercept, within(1e-5));
    }
}
