package gatelock.decision;

import gatelock.api.DecisionActions;
import gatelock.api.RelaySettings;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The state that all decision modules of one relay share: settings, actions, the random generator, the clock, the state
 * of the rollout and the relay's measurements. It makes no decisions.
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

    /** With up to this many relays, each sees enough of the requests to judge a build on its own. */
    static final double SMALL_FLEET_RELAYS = 8;

    /** Creates the context of a relay that has just started; the random generator is seeded from the settings. */
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

    /** Returns the time of the current call, in microseconds. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Whether there are so many relays that each sees only a small sample of the requests. */
    boolean hasManyRelays() {
        return settings.relayCount() > SMALL_FLEET_RELAYS;
    }
}
