package gatelock.decision;

import java.util.List;
import java.util.stream.Stream;

/**
 * An exact binomial test on the number of endpoints with bad outcomes. Guards against bad builds of which each of many
 * relays sees too few outcomes for a bootstrapped interval: it tests how unlikely it is that so many endpoints are
 * above a threshold by chance, at the level at which a quorum of relays is not wrong together. Endpoints are counted
 * instead of outcomes, so that a faulty endpoint counts once. Can wrongly fail a build if a fault affects mostly canary
 * endpoints.
 */
final class EndpointCountAnalysis {
    /** A result that chance produces with a lower probability than this makes a build suspect. */
    private static final double SUSPECT_PROBABILITY = 0.3;

    private final ThresholdComparison comparison;
    private final double failProbability;

    /**
     * Creates the test; {@code logErrorLevel} is the logarithm of the probability with which one relay may be wrong.
     */
    EndpointCountAnalysis(ThresholdComparison comparison, double logErrorLevel) {
        this.comparison = comparison;
        this.failProbability = Math.exp(logErrorLevel);
    }

    /**
     * Assesses a build's outcomes against those of the earlier build; {@code recent} are the latest of {@code earlier}.
     */
    Finding assess(List<OutcomeWindow> windows, List<OutcomeWindow> earlier, List<OutcomeWindow> recent) {
        Finding errors = assessErrors(windows, earlier, recent);
        if (errors.assessment() == Assessment.ERRORS) {
            return errors;
        }
        Finding slowness = assessSlowness(windows, earlier);
        Assessment assessment =
                slowness.assessment() == Assessment.NO_VERDICT ? errors.assessment() : slowness.assessment();
        return new Finding(assessment, slowness.evidence());
    }

    private Finding assessErrors(List<OutcomeWindow> windows, List<OutcomeWindow> earlier, List<OutcomeWindow> recent) {
        double earlierShare = Math.max(OutcomeWindow.errorShare(earlier), OutcomeWindow.errorShare(recent));
        double threshold = Math.max(ThresholdComparison.ERROR_THRESHOLD, ThresholdComparison.MARGIN * earlierShare);
        return test(
                OutcomeWindow.size(windows),
                OutcomeWindow.outcomes(windows).filter(AttemptOutcome::failed),
                threshold,
                Assessment.ERRORS);
    }

    private Finding assessSlowness(List<OutcomeWindow> windows, List<OutcomeWindow> earlier) {
        LatencyByLoad baseline = new LatencyByLoad(earlier, ThresholdComparison.MIN_OUTCOMES_PER_LOAD);
        RelativeLatency[] earlierLatencies = baseline.relativeTo(earlier, 0);
        boolean hasBaseline = earlierLatencies.length > 0;
        double threshold =
                ThresholdComparison.MARGIN * ThresholdComparison.percentile(earlierLatencies, earlier.size());
        List<AttemptOutcome> warm = OutcomeWindow.outcomes(windows)
                .filter(outcome -> !outcome.failed() && outcome.ageUs() > comparison.warmUpUs())
                .filter(outcome -> !hasBaseline || !Double.isNaN(baseline.baseline(outcome)))
                .toList();
        // A relay that has just started has no latencies of the earlier build, so the route's latency objective is the
        // threshold.
        Stream<AttemptOutcome> slow = warm.stream()
                .filter(outcome -> hasBaseline
                        ? outcome.slowness() / baseline.baseline(outcome) > threshold
                        : outcome.missedObjective());
        return test(warm.size(), slow, 1 - ThresholdComparison.PERCENTILE, Assessment.SLOW);
    }

    /**
     * Tests how likely it is that so many endpoints are above a threshold that the given share of the outcomes may
     * exceed.
     */
    private Finding test(int outcomes, Stream<AttemptOutcome> aboveThreshold, double share, Assessment failure) {
        int endpoints =
                (int) aboveThreshold.map(AttemptOutcome::endpoint).distinct().count();
        double probability = Bootstrap.binomialTail(outcomes, endpoints, share);
        Assessment assessment = assess(endpoints, probability, failure);
        return new Finding(assessment, new Evidence.EndpointsAboveThreshold(outcomes, endpoints, share));
    }

    private Assessment assess(int endpoints, double probability, Assessment failure) {
        if (endpoints > 1 && probability < failProbability) {
            return failure;
        }
        return probability < SUSPECT_PROBABILITY ? Assessment.SUSPECT : Assessment.NO_VERDICT;
    }
}
