package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests how versions apply to requests: pools, fallbacks and retry budgets. Also guards against activating a version,
 * made from an outdated or truncated copy, that drops a route with traffic or most of the endpoints.
 */
final class AdmissionTest {
    private static final long SECOND = 1_000_000;
    private static final QueuedRequest NEVER_QUEUED = new QueuedRequest() {
        @Override
        public void onAdmitted(long nowUs) {
            throw new AssertionError("the request was not queued");
        }

        @Override
        public void onShed(long nowUs, long retryAfterUs) {
            throw new AssertionError("the request was not queued");
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

    private Admission admission = new Admission(0.5);
    private long nowUs = SECOND;

    private static Endpoint endpoint(String name, int zone, Endpoint.Health health) {
        return new Endpoint(name, 1, zone, 0, 0, health, 0);
    }

    private void setReadyEndpoints(int east, int west) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < east + west; i++) {
            endpoints.add(endpoint((i < east ? "e" + i : "w" + (i - east)), i < east ? 0 : 1, Endpoint.Health.READY));
        }
        admission.updateEndpoints(
                nowUs,
                DecisionEngine.EndpointUpdateType.FULL,
                endpoints,
                Map.of("w0", Map.of("tier", "gold", "rack", "7")));
    }

    private Admission.MatchedRoute match(String path) {
        return admission.matchRoute(new RequestAttributes("GET", null, path, name -> null));
    }

    private Admission.RoutedRequest admit(Admission.MatchedRoute matchedRoute) {
        return admission.admit(nowUs, matchedRoute, 0, nowUs + SECOND, NEVER_QUEUED);
    }

    private Admission.RoutedRequest admit(String path) {
        return admit(match(path));
    }

    private static List<String> allowedEndpoints(Admission.RoutedRequest request) {
        return Stream.of("e0", "e1", "w0", "w1").filter(request::allowsEndpoint).toList();
    }

    /** Activates a version with all endpoints ready, of which only some then remain. */
    private void activateAnew(String version, int remainingEast) {
        admission = new Admission(0.5);
        setReadyEndpoints(10, 5);
        admission.activate(nowUs, SampleConfigs.compileValid(version));
        setReadyEndpoints(remainingEast, 5);
    }

    @Test
    void fallsBackWhenTooFewEndpointsOfPoolAreReady() {
        setReadyEndpoints(10, 5);
        admission.activate(nowUs, SampleConfigs.compileValid(POOLS));
        Admission.RoutedRequest request = admit("/read/x");
        assertThat(request.allowsEndpoint("e0")).isTrue();
        assertThat(request.allowsEndpoint("w0")).isFalse();
        assertThat(request.allowsEndpoint("unlisted")).isFalse();
        nowUs += SECOND;
        setReadyEndpoints(5, 5);
        assertThat(admit("/read").allowsEndpoint("e0"))
                .as("half of the recent peak is enough")
                .isTrue();
        setReadyEndpoints(4, 5);
        Admission.RoutedRequest redirected = admit("/read");
        assertThat(redirected.allowsEndpoint("e0")).isFalse();
        assertThat(redirected.allowsEndpoint("w0"))
                .as("in the fallback pool by its label")
                .isTrue();
        assertThat(redirected.allowsEndpoint("w1")).isFalse();
        assertThat(request.allowsEndpoint("e0"))
                .as("an earlier request keeps its pool")
                .isTrue();
        setReadyEndpoints(5, 5);
        assertThat(admit("/read").allowsEndpoint("e0"))
                .as("no flapping around the minimum")
                .isFalse();
        setReadyEndpoints(6, 5);
        assertThat(admit("/read").allowsEndpoint("e0")).isTrue();
        // The recent peak decays, so that endpoints lost for good eventually no longer count.
        setReadyEndpoints(4, 5);
        assertThat(admit("/read").allowsEndpoint("e0")).isFalse();
        nowUs += 1_200 * SECOND;
        assertThat(admit("/read").allowsEndpoint("e0")).isTrue();
        admission.updateEndpoints(
                nowUs,
                DecisionEngine.EndpointUpdateType.DELTA,
                List.of(endpoint("e0", 0, Endpoint.Health.DRAINING), endpoint("w0", 1, Endpoint.Health.GONE)),
                Map.of());
        assertThat(admit("/read").allowsEndpoint("w0")).isFalse();
    }

    @Test
    void retriesOnlyWithinPolicyAndBudget() {
        setReadyEndpoints(2, 2);
        admission.activate(nowUs, SampleConfigs.compileValid(POOLS));
        Admission.RoutedRequest request = admit("/read");
        assertThat(request.maxAttempts()).isEqualTo(2);
        assertThat(request.attemptTimeoutUs()).isEqualTo(100_000);
        assertThat(request.acquireRetry(nowUs, AttemptResult.TIMED_OUT)).isFalse();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            nowUs += 1_000;
            retries += admit("/read").acquireRetry(nowUs, AttemptResult.ERRORED) ? 1 : 0;
        }
        assertThat(retries).isBetween(90, 115);
        // An exhausted budget stays exhausted when a new version does not change its policy.
        admission.activate(
                nowUs, SampleConfigs.compileValid(POOLS.replace("'format': 1", "'format': 1, 'note': 'again'")));
        retries = 0;
        for (int i = 0; i < 10; i++) {
            retries += admit("/read").acquireRetry(nowUs, AttemptResult.ERRORED) ? 1 : 0;
        }
        assertThat(retries).isLessThan(4);
        assertThat(admit("/west").acquireRetry(nowUs, AttemptResult.TIMED_OUT))
                .as("the route names no policy")
                .isTrue();
    }

    @Test
    void completesRequestUnderVersionThatMatchedIt() {
        setReadyEndpoints(2, 2);
        admission.activate(nowUs, SampleConfigs.compileValid(POOLS));
        Admission.RoutedRequest request = admit("/read");
        admission.activate(nowUs, SampleConfigs.compileValid("""
            {'format': 1, 'pools': {'east': {'zones': ['west']}}, 'removes': ['w'],
             'routes': [{'name': 'r', 'path': '/read', 'class': 'read', 'pool': 'east'}]}
            """));
        assertThat(request.allowsEndpoint("e0")).isTrue();
        assertThat(request.allowsEndpoint("w0")).isFalse();
        assertThat(request.maxAttempts()).isEqualTo(2);
        assertThat(admit("/read").allowsEndpoint("w0")).isTrue();
    }

    /**
     * Guards against requests that are never answered because a version became active between their head and the end of
     * their body, and the pools that they were matched with are looked up in that version.
     */
    @Test
    void admitsRequestUnderMatchingVersionWhateverTheNextVersionsChange() {
        List<String> versions = List.of(
                POOLS,
                POOLS.replace("east': {", "orient': {").replace("'pool': 'east'", "'pool': 'orient'"),
                POOLS.replace("'fallback': 'gold'", "'fallback': 'west'"),
                POOLS.replace("'fallback': 'gold', ", ""),
                POOLS.replace("gold':", "silver':").replace("'fallback': 'gold'", "'fallback': 'silver'"),
                POOLS.replace("'zones': ['east']", "'zones': ['west']"),
                POOLS.replace("'retries': 'two'", "'limits': ['l']")
                        .replace("'retries': {'two'", "'limits': {'l': {'ratePerS': 100}}, 'retries': {'two'"),
                "{'format': 1, 'routes': [{'name': 'all', 'path': '/', 'class': 'read'}]}");
        for (String matching : versions) {
            for (int remainingEast : new int[] {10, 0}) {
                activateAnew(matching, remainingEast);
                List<String> expected = allowedEndpoints(admit("/read"));
                for (String atAdmission : versions) {
                    String description = remainingEast + " in the east, " + matching + "\nthen " + atAdmission;
                    activateAnew(matching, remainingEast);
                    Admission.MatchedRoute matchedRoute = match("/read");
                    admission.activate(nowUs, SampleConfigs.compileValid(atAdmission));
                    Admission.RoutedRequest request = admit(matchedRoute);
                    assertThat(allowedEndpoints(request)).as(description).isEqualTo(expected);
                    admission.activate(nowUs, SampleConfigs.compileValid(matching));
                    assertThat(allowedEndpoints(request)).as(description).isEqualTo(expected);
                    request.release(nowUs);
                }
            }
        }
    }

    @Test
    void rejectsVersionThatDropsTrafficOrTooManyEndpoints() {
        setReadyEndpoints(6, 4);
        admission.activate(nowUs, SampleConfigs.compileValid(POOLS));
        CompiledConfig withoutWest = SampleConfigs.compileValid(
                POOLS.replace(",\n  {'name': 'w', 'path': '/west', 'class': 'read', " + "'pool': 'west'}", ""));
        assertThat(admission.checkAgainstActive(nowUs, withoutWest))
                .extracting(Diagnostic::code)
                .doesNotContain("B-TRAFFIC");
        admit("/west");
        assertThat(admission.checkAgainstActive(nowUs, withoutWest))
                .extracting(Diagnostic::code)
                .contains("B-TRAFFIC");
        nowUs += 61 * SECOND;
        admit("/read");
        nowUs += 20 * SECOND;
        assertThat(admission.checkAgainstActive(nowUs, withoutWest))
                .extracting(Diagnostic::code)
                .doesNotContain("B-TRAFFIC");
        admit("/west");
        String removing = "{'format': 1, 'unmatched': 'refuse', 'removes': ['w'], 'pools': {'p': {'zones': "
                + "['%s']}},"
                + " 'routes': [{'name': 'r', 'path': '/read', 'class': 'read', 'pool': 'p'}]}";
        assertThat(admission.checkAgainstActive(nowUs, SampleConfigs.compileValid(String.format(removing, "east"))))
                .isEmpty();
        assertThat(admission.checkAgainstActive(nowUs, SampleConfigs.compileValid(String.format(removing, "west"))))
                .extracting(Diagnostic::code)
                .containsExactly("B-UNITS");
    }
}
