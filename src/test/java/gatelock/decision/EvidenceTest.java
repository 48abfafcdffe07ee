package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the text of a vote's log line, which on-call pages quote. */
final class EvidenceTest {
    private static final Evidence.Comparison ERRORS =
            new Evidence.Comparison(new Bootstrap.Interval(0.0125, 0.25), 0.02);
    private static final Evidence.Comparison SLOWNESS = new Evidence.Comparison(new Bootstrap.Interval(3.4, 5), 3.25);

    @Test
    void logsOnlyComputedIntervals() {
        assertThat(new Evidence.Intervals(7, null, null).logText()).isEqualTo("7 outcomes");
        assertThat(new Evidence.Intervals(40, ERRORS, null).logText())
                .isEqualTo("40 outcomes, errors 0.013 to 0.250, bar 0.020");
        assertThat(new Evidence.Intervals(40, ERRORS, SLOWNESS).logText())
                .isEqualTo("40 outcomes, errors 0.013 to 0.250, bar 0.020, slowness 3.40 to 5.00, bar 3.25");
    }

    @Test
    void logsNumberOfEndpointsAboveThreshold() {
        assertThat(new Evidence.EndpointsAboveThreshold(15, 5, 0.1).logText())
                .isEqualTo("15 outcomes, 5 endpoints past the bar of 0.100");
    }

    @Test
    void isAboveOrBelowThresholdOnlyWithWholeInterval() {
        assertThat(ERRORS.isAbove() || ERRORS.isBelow()).isFalse();
        assertThat(SLOWNESS.isAbove()).isTrue();
        assertThat(new Evidence.Comparison(new Bootstrap.Interval(1, 2), 3).isBelow())
                .isTrue();
    }
}
