package gatelock.decision;

import java.util.List;
import java.util.stream.Stream;

/**
 * An exact binomial test on endpoints. Guards against bad builds of which each relay of many sees too little for a
 * bootstrapped interval: how unlikely it is that so many endpoints are past a bar by chance, at the level at which a quorum
 * of relays is not wrong together. Endpoints are counted, not outcomes, so that one faulty endpoint is one case. Could harm
 * where a fault strikes mostly canary endpoints.
 */
final class EndpointCountAnalysis {
    /** What is rarer than this by chance makes a build suspect. */
    private static final double SUSPECT_PROBABILITY = 0.3;

    private final BarComparison bars;
    private final double failProbability;

    /** The level is given by the logarithm of how often one relay may be wrong. */
    EndpointCountAnalysis(BarComparison bars, double logErrorLevel) {
        this.bars = bars;
        this.failProbability = Math.exp(logErrorLevel);
    }

    /** Assesses a build's outcomes by the earlier build's outcomes, {@code recent} being the latest of these. */
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
        double bar = Math.max(BarComparison.ERROR_BAR, BarComparison.MARGIN * earlierShare);
        return test(
                OutcomeWindow.size(windows),
                OutcomeWindow.outcomes(windows).filter(AttemptOutcome::failed),
                bar,
                Assessment.ERRORS);
    }

    private Finding assessSlowness(List<OutcomeWindow> windows, List<OutcomeWindow> earlier) {
        LatencyByLoad usual = new LatencyByLoad(earlier, BarComparison.MIN_OUTCOMES_PER_LOAD);
        RelativeLatency[] earlierLatencies = usual.relativeTo(earlier, 0);
        boolean isKnown = earlierLatencies.length > 0;
        double bar = BarComparison.MARGIN * BarComparison.percentile(earlierLatencies, earlier.size());
        List<AttemptOutcome> warm = OutcomeWindow.outcomes(windows)
                .filter(outcome -> !outcome.failed() && outcome.ageUs() > bars.warmUpUs())
                .filter(outcome -> !isKnown || !Double.isNaN(usual.usual(outcome)))
                .toList();
        // A relay that has just started knows no earlier times: a route's latency objective stands for the bar.
        Stream<AttemptOutcome> slow = warm.stream()
                .filter(outcome -> isKnown ? outcome.slowness() / usual.usual(outcome) > bar : outcome.late());
        return test(warm.size(), slow, 1 - BarComparison.PERCENTILE, Assessment.SLOW);
    }

    /** Tests how likely it is that so many endpoints are past a bar which a share of the outcomes may be past. */
    private Finding test(int outcomes, Stream<AttemptOutcome> pastBar, double share, Assessment fail) {
        int endpoints = (int) pastBar.map(AttemptOutcome::endpoint).distinct().count();
        double probability = Bootstrap.binomialTail(outcomes, endpoints, share);
        Assessment assessment = assess(endpoints, probability, fail);
        return new Finding(assessment, new Evidence.EndpointsPastBar(outcomes, endpoints, share));
    }

    private Assessment assess(int endpoints, double probability, Assessment fail) {
        if (endpoints > 1 && probability < failProbability) {
            return fail;
        }
        return probability < SUSPECT_PROBABILITY ? Assessment.SUSPECT : Assessment.NO_VERDICT;
    }
}
