package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Tests the detection probabilities of the exact test against values calculated by hand. */
class ExactIntervalTableTest {

    @Test
    void dividesErrorProbabilityAmongRelaysByQuorum() {
        assertThat(ExactIntervalTable.errorLevel(0.05, 1, 1)).isCloseTo(0.05, within(1e-12));
        // Each of 100 relays can roll back alone, so each may be wrong with a hundredth of the probability.
        assertThat(ExactIntervalTable.errorLevel(0.05, 100, 1)).isCloseTo(0.0005, within(1e-12));
        // Both of two relays have to be wrong together.
        assertThat(ExactIntervalTable.errorLevel(0.04, 2, 2)).isCloseTo(0.2, within(1e-12));
    }

    /**
     * Of 20 outcomes with a probability of 2%, two or more occur with probability 0.060 and three or more with 0.007.
     */
    @Test
    void requiresEndpointsUntilTheirNumberIsRarerThanLevel() {
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(20, 0.02, 0.05))
                .isEqualTo(3);
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(20, 0.02, 0.07))
                .isEqualTo(2);
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(2, 0.02, 0.05)).isEqualTo(2);
    }

    @Test
    void computesDetectionProbabilityAsBinomialTail() {
        // Two outcomes at two endpoints, both of which fail with probability 0.3.
        assertThat(ExactIntervalTable.detectionProbability(2, 100, 0.3, 0.02, 0.05))
                .isCloseTo(0.09, within(1e-12));
        // Three endpoints are required, but there are only two.
        assertThat(ExactIntervalTable.detectionProbability(20, 2, 0.3, 0.02, 0.05))
                .isZero();
    }

    @Test
    void needsFewerOutcomesForWorseBuildAndDetectsNoneOnOneEndpoint() {
        int bad = ExactIntervalTable.minOutcomesToDetect(100, 0.1, 0.02, 0.05, 0.5, 500);
        int worse = ExactIntervalTable.minOutcomesToDetect(100, 0.3, 0.02, 0.05, 0.5, 500);
        assertThat(worse).isBetween(2, bad - 1);
        assertThat(ExactIntervalTable.detectionProbability(worse, 100, 0.3, 0.02, 0.05))
                .isGreaterThanOrEqualTo(0.5);
        assertThat(ExactIntervalTable.detectionProbability(worse - 1, 100, 0.3, 0.02, 0.05))
                .isLessThan(0.5);
        assertThat(ExactIntervalTable.minOutcomesToDetect(1, 0.3, 0.02, 0.05, 0.5, 500))
                .isEqualTo(-1);
    }
}
