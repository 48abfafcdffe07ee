package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Verdict;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Records what the decision engine did in a scenario, and checks the scenario's expectations. */
final class ScenarioRecord {
    /** An attempt that the engine sent. */
    record Attempt(long sentUs, String requestId, String endpoint, int attemptNo) {}

    /** The build of each endpoint, by its name. */
    final Map<String, Integer> buildByEndpoint = new HashMap<>();
    /** The zone of each endpoint, by its name. */
    final Map<String, Integer> zoneByEndpoint = new HashMap<>();
    /** The final answer of each request, by its id: completed, shed or error. */
    final Map<String, String> answers = new LinkedHashMap<>();

    final List<Attempt> attempts = new ArrayList<>();
    final List<Long> acceptedAtUs = new ArrayList<>();
    final List<Verdict> votes = new ArrayList<>();
    final List<String> cancelledRequestIds = new ArrayList<>();
    int listSubscriptions;

    /** Checks one expectation on what was recorded. */
    void expect(String[] words, ScenarioValues values, String location) {
        switch (words[1]) {
            case "sent" ->
                assertThat(lastAttempt(words[2]))
                        .as(location)
                        .isNotNull()
                        .extracting(Attempt::endpoint)
                        .asString()
                        .startsWith(words.length > 3 ? words[3] : "");
            case "tries" -> assertThat(attemptsOf(words[2])).as(location).isEqualTo(Long.parseLong(words[3]));
            case "answered" -> assertWithin(Collections.frequency(answers.values(), words[2]), values, location);
            case "shed", "error" ->
                assertThat(answers.get(words[2])).as(location).isEqualTo(words[1]);
            case "open" -> assertThat(answers.get(words[2])).as(location).isNull();
            case "vote" -> assertThat(votes).as(location).contains(verdict(words[2]));
            case "no-vote" -> assertThat(votes).as(location).doesNotContain(verdict(words[2]));
            case "votes" -> assertWithin(votes.size(), values, location);
            case "cancelled" -> assertThat(cancelledRequestIds).as(location).contains(words[2]);
            case "cancels" -> assertWithin(cancelledRequestIds.size(), values, location);
            case "follows" -> assertWithin(listSubscriptions, values, location);
            case "share" -> {
                double matching = attempts.stream()
                        .filter(attempt -> matches(attempt.endpoint, words[2]))
                        .count();
                assertWithin(matching / Math.max(1, attempts.size()), values, location);
            }
            default -> throw new IllegalArgumentException("unknown expectation: " + location);
        }
    }

    private static Verdict verdict(String name) {
        return ScenarioValues.parseConstant(Verdict.class, name);
    }

    private static void assertWithin(double value, ScenarioValues values, String location) {
        assertThat(value).as(location).isBetween(values.number("min", 0), values.number("max", 1e9));
    }

    /** Checks that the attempts at a build stay within free + cap x accepted requests in every window. */
    void assertExposure(ScenarioValues settings, ScenarioValues values, String location) {
        long windowUs = settings.timeUs("window", "2s");
        int build = values.integer("build", 2);
        List<Attempt> attemptsAtBuild = attempts.stream()
                .filter(attempt -> buildByEndpoint.get(attempt.endpoint) == build)
                .toList();
        for (Attempt first : attemptsAtBuild) {
            long fromUs = first.sentUs;
            long endUs = fromUs + windowUs;
            long attemptsInWindow = attemptsAtBuild.stream()
                    .filter(attempt -> attempt.sentUs >= fromUs && attempt.sentUs < endUs)
                    .count();
            long acceptedInWindow = acceptedAtUs.stream()
                    .filter(atUs -> atUs >= fromUs && atUs < endUs)
                    .count();
            assertThat((double) attemptsInWindow)
                    .as(location)
                    .isLessThanOrEqualTo(
                            settings.number("free", 2) + values.number("cap", 0.2) * acceptedInWindow + 1e-9);
        }
    }

    private boolean matches(String endpoint, String pattern) {
        if (pattern.startsWith("zone")) {
            return zoneByEndpoint.get(endpoint) == Integer.parseInt(pattern.substring("zone".length()));
        }
        if (pattern.startsWith("build")) {
            return buildByEndpoint.get(endpoint) == Integer.parseInt(pattern.substring("build".length()));
        }
        return endpoint.equals(pattern);
    }

    /** Returns the number of attempts of a request. */
    long attemptsOf(String requestId) {
        return attempts.stream()
                .filter(attempt -> attempt.requestId.equals(requestId))
                .count();
    }

    /** Returns the last attempt of a request, or null. */
    Attempt lastAttempt(String requestId) {
        return attempts.stream()
                .filter(attempt -> attempt.requestId.equals(requestId))
                .reduce((earlier, later) -> later)
                .orElse(null);
    }
}
