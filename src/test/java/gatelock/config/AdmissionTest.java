package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What plans mean for requests: pools, fallbacks, budgets, and what one version is beside another. */
final class AdmissionTest {
    private static final long SECOND = 1_000_000;
    private static final QueuedRequest NOBODY = new QueuedRequest() {
        @Override
        public void passes(long nowUs) {
            throw new AssertionError("nobody waits");
        }

        @Override
        public void shed(long nowUs, long pauseUs) {
            throw new AssertionError("nobody waits");
        }
    };
    private static final String POOLS = """
        {'format': 1, 'unmatched': 'refuse',
         'pools': {'east': {'zones': ['east'], 'fallback': 'gold', 'leastShare': 0.5}, 'gold': {'labels': {'tier': 'gold'}},
          'west': {'zones': ['west']}},
         'retries': {'two': {'tries': 2, 'after': ['errored'], 'budget': 0.1, 'tryMs': 100}},
         'routes': [{'name': 'r', 'path': '/read', 'class': 'read', 'pool': 'east', 'retries': 'two'},
          {'name': 'w', 'path': '/west', 'class': 'read', 'pool': 'west'}]}
        """;

    private final Admission admission = new Admission(0.5);
    private long nowUs = SECOND;

    private static Endpoint endpoint(String name, int zone, Endpoint.Health health) {
        return new Endpoint(name, 1, zone, 0, 0, health, 0);
    }

    private void list(int east, int west) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < east + west; i++) {
            endpoints.add(endpoint((i < east ? "e" + i : "w" + (i - east)), i < east ? 0 : 1, Endpoint.Health.READY));
        }
        admission.listed(
                nowUs, DecisionEngine.ListForm.FULL, endpoints, Map.of("w0", Map.of("tier", "gold", "rack", "7")));
    }

    private Admission.Pass ask(String path) {
        RequestAttributes asked = new RequestAttributes("GET", null, path, n -> null);
        return admission.ask(nowUs, admission.way(asked), 0, nowUs + SECOND, NOBODY);
    }

    @Test
    void aPoolReachesItsEndpointsAndItsFallbackServesWhenTooFewAreLeft() {
        list(10, 5);
        admission.follow(nowUs, SampleConfigs.plan(POOLS));
        Admission.Pass pass = ask("/read/x");
        assertThat(pass.reaches("e0")).isTrue();
        assertThat(pass.reaches("w0")).isFalse();
        assertThat(pass.reaches("unheard of")).isFalse();
        nowUs += SECOND;
        list(5, 5);
        assertThat(ask("/read").reaches("e0")).as("half are enough").isTrue();
        list(4, 5);
        Admission.Pass fallen = ask("/read");
        assertThat(fallen.reaches("e0")).isFalse();
        assertThat(fallen.reaches("w0")).as("bears the label").isTrue();
        assertThat(fallen.reaches("w1")).isFalse();
        assertThat(pass.reaches("e0"))
                .as("one that was taken before stays with its pool")
                .isTrue();
        list(5, 5);
        assertThat(ask("/read").reaches("e0")).as("no swinging at the bound").isFalse();
        list(6, 5);
        assertThat(ask("/read").reaches("e0")).isTrue();
        // What is gone for good is in time no longer missed.
        list(4, 5);
        assertThat(ask("/read").reaches("e0")).isFalse();
        nowUs += 1_200 * SECOND;
        assertThat(ask("/read").reaches("e0")).isTrue();
        admission.listed(
                nowUs,
                DecisionEngine.ListForm.DELTA,
                List.of(endpoint("e0", 0, Endpoint.Health.DRAINING), endpoint("w0", 1, Endpoint.Health.GONE)),
                Map.of());
        assertThat(ask("/read").reaches("w0")).isFalse();
    }

    @Test
    void furtherAttemptsAreNarrowedByTheirPolicyAndBudget() {
        list(2, 2);
        admission.follow(nowUs, SampleConfigs.plan(POOLS));
        Admission.Pass pass = ask("/read");
        assertThat(pass.mostAttempts()).isEqualTo(2);
        assertThat(pass.attemptUs()).isEqualTo(100_000);
        assertThat(pass.goesOn(nowUs, AttemptResult.TIMED_OUT)).isFalse();
        int gone = 0;
        for (int i = 0; i < 1_000; i++) {
            nowUs += 1_000;
            gone += ask("/read").goesOn(nowUs, AttemptResult.ERRORED) ? 1 : 0;
        }
        assertThat(gone).isBetween(90, 115);
        // A budget that is spent stays spent when a version comes that does not change it.
        admission.follow(nowUs, SampleConfigs.plan(POOLS.replace("'format': 1", "'format': 1, 'note': 'again'")));
        gone = 0;
        for (int i = 0; i < 10; i++) {
            gone += ask("/read").goesOn(nowUs, AttemptResult.ERRORED) ? 1 : 0;
        }
        assertThat(gone).isLessThan(4);
        assertThat(ask("/west").goesOn(nowUs, AttemptResult.TIMED_OUT))
                .as("nothing was set there")
                .isTrue();
    }

    @Test
    void aRequestGoesOnUnderTheVersionThatTookIt() {
        list(2, 2);
        admission.follow(nowUs, SampleConfigs.plan(POOLS));
        Admission.Pass pass = ask("/read");
        admission.follow(nowUs, SampleConfigs.plan("""
            {'format': 1, 'pools': {'east': {'zones': ['west']}}, 'removes': ['w'],
             'routes': [{'name': 'r', 'path': '/read', 'class': 'read', 'pool': 'east'}]}
            """));
        assertThat(pass.reaches("e0")).isTrue();
        assertThat(pass.reaches("w0")).isFalse();
        assertThat(pass.mostAttempts()).isEqualTo(2);
        assertThat(ask("/read").reaches("w0")).isTrue();
    }

    @Test
    void aVersionThatIsADangerBesideTheOneInForceIsTurnedDown() {
        list(6, 4);
        admission.follow(nowUs, SampleConfigs.plan(POOLS));
        CompiledConfig without = SampleConfigs.plan(
                POOLS.replace(",\n  {'name': 'w', 'path': '/west', 'class': 'read', " + "'pool': 'west'}", ""));
        assertThat(admission.beside(nowUs, without))
                .extracting(Diagnostic::code)
                .doesNotContain("B-TRAFFIC");
        ask("/west");
        assertThat(admission.beside(nowUs, without))
                .extracting(Diagnostic::code)
                .contains("B-TRAFFIC");
        nowUs += 61 * SECOND;
        ask("/read");
        nowUs += 20 * SECOND;
        assertThat(admission.beside(nowUs, without))
                .extracting(Diagnostic::code)
                .doesNotContain("B-TRAFFIC");
        ask("/west");
        String said = "{'format': 1, 'unmatched': 'refuse', 'removes': ['w'], 'pools': {'p': {'zones': "
                + "['%s']}},"
                + " 'routes': [{'name': 'r', 'path': '/read', 'class': 'read', 'pool': 'p'}]}";
        assertThat(admission.beside(nowUs, SampleConfigs.plan(String.format(said, "east"))))
                .isEmpty();
        assertThat(admission.beside(nowUs, SampleConfigs.plan(String.format(said, "west"))))
                .extracting(Diagnostic::code)
                .containsExactly("B-UNITS");
    }
}
