package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RequestHandle;
import gatelock.api.Verdict;
import gatelock.decision.ReleaseGate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Plays one scenario: the decision module of one relay, a simulated clock, and a record of all that was decided. */
final class ScenarioRunner implements DecisionActions {
    private record Event(long atUs, long order, Runnable action) {}

    private final ScenarioValues charter = new ScenarioValues();
    private final ScenarioRecord outcome = new ScenarioRecord();
    /** How endpoints, or all of a build ({@code build2}), respond by themselves. */
    private final Map<String, ScenarioValues> responders = new LinkedHashMap<>();

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::order));
    private final Map<String, RequestHandle> requests = new HashMap<>();
    private DecisionEngine engine;
    private long nowUs = 1_000_000_000L;
    private final long startUs = nowUs;
    private long nextOrder;
    private int nextFlowId;

    void play(Path file) throws IOException {
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            String[] words = line.replaceFirst("#.*", "").trim().split("\\s+");
            if (!words[0].isEmpty()) {
                step(words, file.getFileName() + ":" + number + " " + line);
            }
        }
    }

    private void step(String[] words, String where) {
        ScenarioValues named = ScenarioValues.of(words);
        switch (words[0]) {
            case "charter" -> charter.putAll(named);
            case "at" -> runTo(startUs + ScenarioValues.parseTimeUs(words[1]));
            case "list" -> engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FULL, endpoints(words));
            case "change" ->
                engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.DELTA, endpoints(words));
            case "list-failed" -> engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FAILED, List.of());
            case "news" -> releaseState(named);
            case "answer" -> voteAnswer(ScenarioValues.parseConstant(DecisionEngine.VoteResponse.class, words[1]));
            case "take" -> take(words[1], named);
            case "leave" -> requests.get(words[1]).responseNoLongerOwed(nowUs);
            case "end" -> endAttempt(words[1], ScenarioValues.parseConstant(AttemptResult.class, words[2]));
            case "unit" ->
                responders
                        .computeIfAbsent(words[1], name -> new ScenarioValues())
                        .putAll(named);
            case "flow" -> flow(named);
            case "stand" -> {
                nowUs += ScenarioValues.parseTimeUs(words[1]);
                runTo(nowUs);
            }
            case "counted" -> countedOutcomes(named);
            case "silent-time-out" -> timeOutSilent();
            case "complaint" -> engine().complaintReceived(nowUs, words[1], 0, named.timeUs("ago", "0s"));
            case "forget" -> {
                outcome.attempts.clear();
                outcome.votes.clear();
                outcome.takenUs.clear();
            }
            case "expect" -> expect(words, named, where);
            default -> throw new IllegalArgumentException("no such step: " + where);
        }
    }

    private void releaseState(ScenarioValues named) {
        engine().releaseStateUpdated(
                        nowUs,
                        named.integer("build", 2),
                        named.integer("stage", 0),
                        named.constant(DecisionEngine.ReleasePhase.class, "phase", "trial"),
                        named.number("cap", 0.2),
                        named.timeUs("ago", "0s"),
                        DecisionEngine.VoteResponse.NOT_ASKED);
    }

    private void voteAnswer(DecisionEngine.VoteResponse answer) {
        engine().releaseStateUpdated(nowUs, 0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, answer);
    }

    private void countedOutcomes(ScenarioValues named) {
        engine().fleetSampleReceived(
                        nowUs,
                        named.integer("build", 2),
                        0,
                        named.integer("count", 20),
                        named.integer("failed", 0),
                        named.timeUs("mean", "100ms"),
                        0);
    }

    private void expect(String[] words, ScenarioValues named, String where) {
        switch (words[1]) {
            case "may-go" -> assertThat(mayGo(words[2])).as(where).isTrue();
            case "stays" -> assertThat(mayGo(words[2])).as(where).isFalse();
            case "exposure" -> outcome.assertExposure(charter, named, where);
            default -> outcome.expect(words, named, where);
        }
    }

    /** Returns whether the last attempt of a request may still go, which is asked once its connection is established. */
    private boolean mayGo(String requestId) {
        return requests.get(requestId)
                .mayStart(nowUs, outcome.lastAttempt(requestId).attemptNo());
    }

    /** Takes requests at a constant rate. */
    private void flow(ScenarioValues named) {
        long endUs = nowUs + named.timeUs("for", "1s");
        long intervalUs = named.timeUs("every", "20ms");
        while (nowUs + intervalUs <= endUs) {
            runTo(nowUs + intervalUs);
            take("f" + nextFlowId++, named);
        }
    }

    private void take(String requestId, ScenarioValues named) {
        outcome.takenUs.add(nowUs);
        RequestHandle request = engine().acceptRequest(
                        nowUs,
                        requestId,
                        named.integer("route", 0),
                        named.integer("tenant", 0),
                        (long) named.number("key", -1),
                        named.timeUs("left", "4s"),
                        named.timeUs("cost", "100ms"));
        requests.put(requestId, request);
    }

    /** Lets an endpoint that responds by itself respond after its time, every nth time with an error. */
    private void scheduleResponse(ScenarioRecord.Attempt attempt) {
        ScenarioValues responder = responders.getOrDefault(
                attempt.endpoint(), responders.get("build" + outcome.buildOf.get(attempt.endpoint())));
        if (responder == null || !attempt.requestId().startsWith("f") || responder.has("silent")) {
            return;
        }
        int failsEach = responder.integer("fails-each", 0);
        long attemptsThere = outcome.attempts.stream()
                .filter(other -> other.endpoint().equals(attempt.endpoint()))
                .count();
        boolean fails = failsEach > 0 && attemptsThere % failsEach == 0;
        long tookUs = responder.timeUs("takes", "100ms");
        events.add(new Event(nowUs + tookUs, nextOrder++, () -> {
            RequestHandle request = requests.get(attempt.requestId());
            if (!fails) {
                outcome.answers.putIfAbsent(attempt.requestId(), "completed");
            }
            AttemptResult failure = responder.constant(AttemptResult.class, "fails-as", "errored");
            AttemptResult result = fails ? failure : AttemptResult.COMPLETED;
            request.attemptEnded(nowUs, attempt.attemptNo(), result, tookUs, !fails, LoadReport.NONE);
        }));
    }

    private void endAttempt(String requestId, AttemptResult result) {
        ScenarioRecord.Attempt attempt = outcome.lastAttempt(requestId);
        boolean over = result == AttemptResult.COMPLETED || outcome.answers.containsKey(requestId);
        if (over) {
            outcome.answers.putIfAbsent(requestId, "completed");
        }
        requests.get(requestId)
                .attemptEnded(nowUs, attempt.attemptNo(), result, nowUs - attempt.sentUs(), over, LoadReport.NONE);
    }

    /** Ends the last attempts that silent endpoints still have as timed out. */
    private void timeOutSilent() {
        for (ScenarioRecord.Attempt attempt : List.copyOf(outcome.attempts)) {
            boolean silent = responders.containsKey(attempt.endpoint())
                    && responders.get(attempt.endpoint()).has("silent");
            if (silent
                    && !outcome.answers.containsKey(attempt.requestId())
                    && attempt.equals(outcome.lastAttempt(attempt.requestId()))) {
                requests.get(attempt.requestId())
                        .attemptEnded(
                                nowUs,
                                attempt.attemptNo(),
                                AttemptResult.TIMED_OUT,
                                nowUs - attempt.sentUs(),
                                false,
                                LoadReport.NONE);
            }
        }
    }

    private void runTo(long toUs) {
        engine();
        while (!events.isEmpty() && events.peek().atUs <= toUs) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.atUs);
            event.action.run();
        }
        nowUs = toUs;
    }

    /** Returns the module, made once the charter is complete. */
    private DecisionEngine engine() {
        if (engine == null) {
            engine = new ReleaseGate(ScenarioSettings.of(charter), this);
            engine.start(nowUs);
        }
        return engine;
    }

    /** Reads endpoints as id/build, with @start, !draining or !gone, #kind, %cell and $zone where wanted. */
    private List<Endpoint> endpoints(String[] words) {
        List<Endpoint> found = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            String[] fields = words[i].split("(?=[/@!#%$])", -1);
            String name = fields[0];
            Map<Character, String> byMark = new HashMap<>();
            Arrays.stream(fields).skip(1).forEach(field -> byMark.put(field.charAt(0), field.substring(1)));
            outcome.buildOf.put(name, Integer.parseInt(byMark.get('/')));
            outcome.zoneOf.put(name, Integer.parseInt(byMark.getOrDefault('$', "0")));
            found.add(new Endpoint(
                    name,
                    outcome.buildOf.get(name),
                    outcome.zoneOf.get(name),
                    Integer.parseInt(byMark.getOrDefault('#', "0")),
                    Integer.parseInt(byMark.getOrDefault('%', "0")),
                    ScenarioValues.parseConstant(Endpoint.Health.class, byMark.getOrDefault('!', "ready")),
                    byMark.containsKey('@') ? startUs + ScenarioValues.parseTimeUs(byMark.get('@')) : 0));
        }
        return found;
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutUs) {
        assertThat(outcome.answers.get(id))
                .as("nothing is sent after the final answer of " + id)
                .isNull();
        ScenarioRecord.Attempt attempt = new ScenarioRecord.Attempt(nowUs, id, endpoint, (int) outcome.attemptsOf(id));
        outcome.attempts.add(attempt);
        scheduleResponse(attempt);
    }

    @Override
    public void shedRequest(String id, long pauseUs) {
        assertThat(outcome.answers.put(id, "shed"))
                .as("one final answer for " + id)
                .isNull();
    }

    @Override
    public void failRequest(String id) {
        assertThat(outcome.answers.put(id, "error"))
                .as("one final answer for " + id)
                .isNull();
    }

    @Override
    public void cancelAttempt(String id, int attemptNo) {
        outcome.cancelledIds.add(id);
    }

    @Override
    public void castVote(int build, int stage, Verdict verdict) {
        outcome.votes.add(verdict);
    }

    @Override
    public void scheduleTimer(long inUs, long token) {
        events.add(new Event(nowUs + inUs, nextOrder++, () -> engine().timerFired(nowUs, token)));
    }

    @Override
    public void subscribeToEndpoints() {
        outcome.listFollows++;
    }

    @Override
    public void log(String line) {}
}
