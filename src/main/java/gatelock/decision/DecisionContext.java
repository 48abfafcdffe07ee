package gatelock.decision;

import gatelock.api.DecisionActions;
import gatelock.api.RelaySettings;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * What all modules of one relay's decisions share: settings, actions, the random generator, the clock, the state of
 * the rollout and the relay's measurements. It decides nothing.
 */
record DecisionContext(
        RelaySettings settings,
        DecisionActions actions,
        RandomGenerator random,
        DecisionClock clock,
        RolloutState rollout,
        LatencyEstimates latency,
        Throughput throughput,
        ConnectFailures connectFailures) {

    /** Up to this many relays each sees enough of the requests to judge a build by itself. */
    static final double FEW_RELAYS = 8;

    /** The context of a relay that has just started; the random generator is seeded from the settings. */
    static DecisionContext of(RelaySettings settings, DecisionActions actions) {
        DecisionClock clock = new DecisionClock();
        return new DecisionContext(
                settings,
                actions,
                new SplittableRandom(settings.seed()),
                clock,
                new RolloutState(settings.rollout()),
                new LatencyEstimates(settings.routes(), clock),
                new Throughput(clock),
                new ConnectFailures(clock));
    }

    long nowUs() {
        return clock.nowUs();
    }

    /** Whether the relays are so many that each sees only a small sample of the requests. */
    boolean manyRelays() {
        return settings.relayCount() > FEW_RELAYS;
    }
}
