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

/** Runs one scenario: drives the decision engine of one relay with a simulated clock and records all of its actions. */
final class ScenarioRunner implements DecisionActions {
    private record Event(long atUs, long order, Runnable action) {}

    private final ScenarioValues settings = new ScenarioValues();
    private final ScenarioRecord scenarioRecord = new ScenarioRecord();
    /** How endpoints, or all endpoints of a build ({@code build2}), respond without an explicit step. */
    private final Map<String, ScenarioValues> responders = new LinkedHashMap<>();

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::order));
    private final Map<String, RequestHandle> requests = new HashMap<>();
    private DecisionEngine engine;
    private long nowUs = 1_000_000_000L;
    private final long startUs = nowUs;
    private long nextOrder;
    private int nextGeneratedId;

    /** Runs all steps of a scenario file. */
    void run(Path file) throws IOException {
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            String[] words = line.replaceFirst("#.*", "").trim().split("\\s+");
            if (!words[0].isEmpty()) {
                runStep(words, file.getFileName() + ":" + number + " " + line);
            }
        }
    }

    private void runStep(String[] words, String location) {
        ScenarioValues values = ScenarioValues.of(words);
        switch (words[0]) {
            case "charter" -> settings.putAll(values);
            case "at" -> advanceTo(startUs + ScenarioValues.parseTimeUs(words[1]));
            case "list" -> engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FULL, endpoints(words));
            case "change" ->
                engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.DELTA, endpoints(words));
            case "list-failed" -> engine().endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FAILED, List.of());
            case "news" -> updateReleaseState(values);
            case "answer" -> answerVote(ScenarioValues.parseConstant(DecisionEngine.VoteResponse.class, words[1]));
            case "take" -> acceptRequest(words[1], values);
            case "leave" -> requests.get(words[1]).responseNoLongerOwed(nowUs);
            case "end" -> endAttempt(words[1], ScenarioValues.parseConstant(AttemptResult.class, words[2]));
            case "unit" ->
                responders
                        .computeIfAbsent(words[1], name -> new ScenarioValues())
                        .putAll(values);
            case "flow" -> sendRequests(values);
            case "stand" -> {
                nowUs += ScenarioValues.parseTimeUs(words[1]);
                advanceTo(nowUs);
            }
            case "counted" -> receiveFleetSample(values);
            case "silent-time-out" -> timeOutSilent();
            case "complaint" -> engine().complaintReceived(nowUs, words[1], 0, values.timeUs("ago", "0s"));
            case "forget" -> {
                scenarioRecord.attempts.clear();
                scenarioRecord.votes.clear();
                scenarioRecord.acceptedAtUs.clear();
            }
            case "expect" -> expect(words, values, location);
            default -> throw new IllegalArgumentException("unknown step: " + location);
        }
    }

    private void updateReleaseState(ScenarioValues values) {
        engine().releaseStateUpdated(
                        nowUs,
                        values.integer("build", 2),
                        values.integer("stage", 0),
                        values.constant(DecisionEngine.ReleasePhase.class, "phase", "trial"),
                        values.number("cap", 0.2),
                        values.timeUs("ago", "0s"),
                        DecisionEngine.VoteResponse.NOT_ASKED);
    }

    private void answerVote(DecisionEngine.VoteResponse response) {
        engine().releaseStateUpdated(nowUs, 0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, response);
    }

    private void receiveFleetSample(ScenarioValues values) {
        engine().fleetSampleReceived(
                        nowUs,
                        values.integer("build", 2),
                        0,
                        values.integer("count", 20),
                        values.integer("failed", 0),
                        values.timeUs("mean", "100ms"),
                        0);
    }

    private void expect(String[] words, ScenarioValues values, String location) {
        switch (words[1]) {
            case "may-go" -> assertThat(mayStart(words[2])).as(location).isTrue();
            case "stays" -> assertThat(mayStart(words[2])).as(location).isFalse();
            case "exposure" -> scenarioRecord.assertExposure(settings, values, location);
            default -> scenarioRecord.expect(words, values, location);
        }
    }

    /** Returns whether the last attempt of a request may still start; a relay asks this once the connection is open. */
    private boolean mayStart(String requestId) {
        return requests.get(requestId)
                .mayStart(nowUs, scenarioRecord.lastAttempt(requestId).attemptNo());
    }

    /** Sends requests at a constant rate. */
    private void sendRequests(ScenarioValues values) {
        long endUs = nowUs + values.timeUs("for", "1s");
        long intervalUs = values.timeUs("every", "20ms");
        while (nowUs + intervalUs <= endUs) {
            advanceTo(nowUs + intervalUs);
            acceptRequest("f" + nextGeneratedId++, values);
        }
    }

    private void acceptRequest(String requestId, ScenarioValues values) {
        scenarioRecord.acceptedAtUs.add(nowUs);
        RequestHandle request = engine().acceptRequest(
                        nowUs,
                        requestId,
                        values.integer("route", 0),
                        values.integer("tenant", 0),
                        (long) values.number("key", -1),
                        values.timeUs("left", "4s"),
                        values.timeUs("cost", "100ms"));
        requests.put(requestId, request);
    }

    /** Schedules the response of an endpoint that responds without an explicit step, every nth one an error. */
    private void scheduleResponse(ScenarioRecord.Attempt attempt) {
        ScenarioValues responder = responders.getOrDefault(
                attempt.endpoint(), responders.get("build" + scenarioRecord.buildByEndpoint.get(attempt.endpoint())));
        if (responder == null || !attempt.requestId().startsWith("f") || responder.has("silent")) {
            return;
        }
        int failureInterval = responder.integer("fails-each", 0);
        long attemptsAtEndpoint = scenarioRecord.attempts.stream()
                .filter(other -> other.endpoint().equals(attempt.endpoint()))
                .count();
        boolean fails = failureInterval > 0 && attemptsAtEndpoint % failureInterval == 0;
        long durationUs = responder.timeUs("takes", "100ms");
        events.add(new Event(nowUs + durationUs, nextOrder++, () -> {
            RequestHandle request = requests.get(attempt.requestId());
            if (!fails) {
                scenarioRecord.answers.putIfAbsent(attempt.requestId(), "completed");
            }
            AttemptResult failure = responder.constant(AttemptResult.class, "fails-as", "errored");
            AttemptResult result = fails ? failure : AttemptResult.COMPLETED;
            request.attemptEnded(nowUs, attempt.attemptNo(), result, durationUs, !fails, LoadReport.NONE);
        }));
    }

    private void endAttempt(String requestId, AttemptResult result) {
        ScenarioRecord.Attempt attempt = scenarioRecord.lastAttempt(requestId);
        boolean answered = result == AttemptResult.COMPLETED || scenarioRecord.answers.containsKey(requestId);
        if (answered) {
            scenarioRecord.answers.putIfAbsent(requestId, "completed");
        }
        requests.get(requestId)
                .attemptEnded(nowUs, attempt.attemptNo(), result, nowUs - attempt.sentUs(), answered, LoadReport.NONE);
    }

    /** Ends the open last attempts at silent endpoints as timed out. */
    private void timeOutSilent() {
        for (ScenarioRecord.Attempt attempt : List.copyOf(scenarioRecord.attempts)) {
            boolean silent = responders.containsKey(attempt.endpoint())
                    && responders.get(attempt.endpoint()).has("silent");
            if (silent
                    && !scenarioRecord.answers.containsKey(attempt.requestId())
                    && attempt.equals(scenarioRecord.lastAttempt(attempt.requestId()))) {
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

    private void advanceTo(long toUs) {
        engine();
        while (!events.isEmpty() && events.peek().atUs <= toUs) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.atUs);
            event.action.run();
        }
        nowUs = toUs;
    }

    /** Returns the engine. It is created on first use, when all settings have been read. */
    private DecisionEngine engine() {
        if (engine == null) {
            engine = new ReleaseGate(ScenarioSettings.of(settings), this);
            engine.start(nowUs);
        }
        return engine;
    }

    /**
     * Parses endpoints written as name/build, optionally followed by @start, !draining or !gone, #instanceType, %cell
     * and $zone.
     */
    private List<Endpoint> endpoints(String[] words) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            String[] fields = words[i].split("(?=[/@!#%$])", -1);
            String name = fields[0];
            Map<Character, String> valueByMark = new HashMap<>();
            Arrays.stream(fields).skip(1).forEach(field -> valueByMark.put(field.charAt(0), field.substring(1)));
            scenarioRecord.buildByEndpoint.put(name, Integer.parseInt(valueByMark.get('/')));
            scenarioRecord.zoneByEndpoint.put(name, Integer.parseInt(valueByMark.getOrDefault('$', "0")));
            endpoints.add(new Endpoint(
                    name,
                    scenarioRecord.buildByEndpoint.get(name),
                    scenarioRecord.zoneByEndpoint.get(name),
                    Integer.parseInt(valueByMark.getOrDefault('#', "0")),
                    Integer.parseInt(valueByMark.getOrDefault('%', "0")),
                    ScenarioValues.parseConstant(Endpoint.Health.class, valueByMark.getOrDefault('!', "ready")),
                    valueByMark.containsKey('@') ? startUs + ScenarioValues.parseTimeUs(valueByMark.get('@')) : 0));
        }
        return endpoints;
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutUs) {
        assertThat(scenarioRecord.answers.get(id))
                .as("no attempt is sent after the final answer of " + id)
                .isNull();
        ScenarioRecord.Attempt attempt =
                new ScenarioRecord.Attempt(nowUs, id, endpoint, (int) scenarioRecord.attemptsOf(id));
        scenarioRecord.attempts.add(attempt);
        scheduleResponse(attempt);
    }

    @Override
    public void shedRequest(String id, long retryAfterUs) {
        assertThat(scenarioRecord.answers.put(id, "shed"))
                .as("exactly one final answer for " + id)
                .isNull();
    }

    @Override
    public void failRequest(String id) {
        assertThat(scenarioRecord.answers.put(id, "error"))
                .as("exactly one final answer for " + id)
                .isNull();
    }

    @Override
    public void cancelAttempt(String id, int attemptNo) {
        scenarioRecord.cancelledRequestIds.add(id);
    }

    @Override
    public void castVote(int build, int stage, Verdict verdict) {
        scenarioRecord.votes.add(verdict);
    }

    @Override
    public void scheduleTimer(long delayUs, long token) {
        events.add(new Event(nowUs + delayUs, nextOrder++, () -> engine().timerFired(nowUs, token)));
    }

    @Override
    public void subscribeToEndpoints() {
        scenarioRecord.listSubscriptions++;
    }

    @Override
    public void log(String line) {}
}
