package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RequestHandle;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import gatelock.api.Verdict;
import gatelock.decision.ReleaseGate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays each text scenario of src/test/resources/scenarios on the module alone; NOTATION.md tells how to read one. */
final class ScenariosTest {

    @TestFactory
    Stream<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            return files.filter(f -> f.toString().endsWith(".txt")).sorted().toList().stream()
                    .map(f -> DynamicTest.dynamicTest(f.getFileName().toString(), () -> new Stage().play(f)));
        }
    }

    private record Sent(long atUs, String id, String endpoint, int attemptNo) {}

    private record Due(long atUs, long order, Runnable what) {}

    /** One relay, its clock, and all it did. */
    private static final class Stage implements DecisionActions {
        private final Map<String, String> terms = new HashMap<>();
        private final Map<String, Integer> buildOf = new HashMap<>();
        private final Map<String, Integer> zoneOf = new HashMap<>();
        private final Map<String, Map<String, String>> manners = new LinkedHashMap<>();
        private final PriorityQueue<Due> dues = new PriorityQueue<>(
                (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
        private final Map<String, RequestHandle> requests = new HashMap<>();
        private final Map<String, String> answers = new LinkedHashMap<>();
        private final List<Sent> sends = new ArrayList<>();
        private final List<long[]> takes = new ArrayList<>();
        private final List<Verdict> votes = new ArrayList<>();
        private final List<String> cancels = new ArrayList<>();
        private int follows;
        private DecisionEngine gate;
        private long nowUs = 1_000_000_000L;
        private long startUs = nowUs;
        private long order;
        private int flows;

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

        private void step(String[] w, String where) {
            Map<String, String> named = new HashMap<>();
            Arrays.stream(w)
                    .filter(x -> x.contains("="))
                    .forEach(x -> named.put(x.substring(0, x.indexOf('=')), x.substring(x.indexOf('=') + 1)));
            switch (w[0]) {
                case "charter" -> terms.putAll(named);
                case "at" -> runTo(startUs + us(w[1]));
                case "list" -> gate().listed(nowUs, DecisionEngine.ListForm.FULL, endpoints(w));
                case "change" -> gate().listed(nowUs, DecisionEngine.ListForm.DELTA, endpoints(w));
                case "list-failed" -> gate().listed(nowUs, DecisionEngine.ListForm.FAILED, List.of());
                case "news" ->
                    gate().news(
                                    nowUs,
                                    (int) num(named, "build", 2),
                                    (int) num(named, "stage", 0),
                                    DecisionEngine.Phase.valueOf(
                                            named.getOrDefault("phase", "trial").toUpperCase()),
                                    num(named, "cap", 0.2),
                                    us(named.getOrDefault("ago", "0s")),
                                    DecisionEngine.VoteAnswer.NOT_ASKED);
                case "answer" ->
                    gate().news(
                                    nowUs,
                                    0,
                                    0,
                                    DecisionEngine.Phase.TRIAL,
                                    0,
                                    0,
                                    DecisionEngine.VoteAnswer.valueOf(w[1].toUpperCase()));
                case "take" -> take(w[1], named);
                case "leave" -> requests.get(w[1]).concluded(nowUs);
                case "end" -> end(w[1], AttemptResult.valueOf(w[2].toUpperCase()), named);
                case "unit" ->
                    manners.computeIfAbsent(w[1], u -> new HashMap<>()).putAll(named);
                case "flow" -> flow(named);
                case "stand" -> {
                    nowUs += us(w[1]);
                    runTo(nowUs);
                }
                case "counted" ->
                    gate().counted(
                                    nowUs,
                                    (int) num(named, "build", 2),
                                    0,
                                    (int) num(named, "count", 20),
                                    (int) num(named, "failed", 0),
                                    us(named.getOrDefault("mean", "100ms")),
                                    0);
                case "silent-time-out" -> timeOut();
                case "complaint" -> gate().complaint(nowUs, w[1], 0, us(named.getOrDefault("ago", "0s")));
                case "forget" -> {
                    sends.clear();
                    votes.clear();
                    takes.clear();
                }
                case "expect" -> expect(w, named, where);
                default -> throw new IllegalArgumentException("no such step: " + where);
            }
        }

        private void expect(String[] w, Map<String, String> named, String where) {
            switch (w[1]) {
                case "sent" ->
                    assertThat(lastSend(w[2]))
                            .as(where)
                            .isNotNull()
                            .extracting(Sent::endpoint)
                            .asString()
                            .startsWith(w.length > 3 ? w[3] : "");
                case "tries" ->
                    assertThat(sends.stream().filter(s -> s.id.equals(w[2])).count())
                            .as(where)
                            .isEqualTo(Long.parseLong(w[3]));
                case "answered" ->
                    within(answers.values().stream().filter(w[2]::equals).count(), named, where);
                case "shed", "error" -> assertThat(answers.get(w[2])).as(where).isEqualTo(w[1]);
                case "open" -> assertThat(answers.get(w[2])).as(where).isNull();
                case "vote" -> assertThat(votes).as(where).contains(Verdict.valueOf(w[2].toUpperCase()));
                case "no-vote" -> assertThat(votes).as(where).doesNotContain(Verdict.valueOf(w[2].toUpperCase()));
                case "votes" -> within(votes.size(), named, where);
                case "may-go" -> assertThat(mayGo(w[2])).as(where).isTrue();
                case "stays" -> assertThat(mayGo(w[2])).as(where).isFalse();
                case "cancelled" -> assertThat(cancels).as(where).contains(w[2]);
                case "cancels" -> within(cancels.size(), named, where);
                case "follows" -> within(follows, named, where);
                case "share" -> {
                    double there = sends.stream()
                            .filter(s -> matches(s.endpoint, w[2]))
                            .count();
                    within(there / Math.max(1, sends.size()), named, where);
                }
                case "exposure" -> exposure(named, where);
                default -> throw new IllegalArgumentException("no such expectation: " + where);
            }
        }

        /** Whether the last attempt of a request may still go, as it is asked when its connection has come up. */
        private boolean mayGo(String id) {
            return requests.get(id).mayGo(nowUs, lastSend(id).attemptNo);
        }

        private static void within(double figure, Map<String, String> named, String where) {
            assertThat(figure).as(where).isBetween(num(named, "min", 0), num(named, "max", 1e9));
        }

        /** In every window, the attempts at a build stay within free + cap x requests taken. */
        private void exposure(Map<String, String> named, String where) {
            long window = us(terms.getOrDefault("window", "2s"));
            List<Sent> there = sends.stream()
                    .filter(s -> buildOf.get(s.endpoint) == (int) num(named, "build", 2))
                    .toList();
            for (Sent from : there) {
                long end = from.atUs + window;
                long attempts = there.stream()
                        .filter(s -> s.atUs >= from.atUs && s.atUs < end)
                        .count();
                long taken = takes.stream()
                        .filter(t -> t[0] >= from.atUs && t[0] < end)
                        .count();
                assertThat((double) attempts)
                        .as(where)
                        .isLessThanOrEqualTo(num(terms, "free", 2) + num(named, "cap", 0.2) * taken + 1e-9);
            }
        }

        private boolean matches(String endpoint, String what) {
            return what.startsWith("zone")
                    ? zoneOf.get(endpoint) == Integer.parseInt(what.substring(4))
                    : what.startsWith("build")
                            ? buildOf.get(endpoint) == Integer.parseInt(what.substring(5))
                            : endpoint.equals(what);
        }

        private void flow(Map<String, String> named) {
            long end = nowUs + us(named.getOrDefault("for", "1s"));
            long every = us(named.getOrDefault("every", "20ms"));
            while (nowUs + every <= end) {
                runTo(nowUs + every);
                String id = "f" + flows++;
                take(id, named);
            }
        }

        private void take(String id, Map<String, String> named) {
            takes.add(new long[] {nowUs});
            requests.put(
                    id,
                    gate().take(
                                    nowUs,
                                    id,
                                    (int) num(named, "route", 0),
                                    (int) num(named, "tenant", 0),
                                    (long) num(named, "key", -1),
                                    us(named.getOrDefault("left", "4s")),
                                    us(named.getOrDefault("cost", "100ms"))));
        }

        /** An endpoint with manners answers by itself: after a time, every nth try with an error. */
        private void later(Sent s) {
            Map<String, String> m = manners.getOrDefault(s.endpoint, manners.get("build" + buildOf.get(s.endpoint)));
            if (m != null && s.id.startsWith("f") && !m.containsKey("silent")) {
                int nth = (int) num(m, "fails-each", 0);
                boolean fails = nth > 0
                        && sends.stream()
                                                .filter(x -> x.endpoint.equals(s.endpoint))
                                                .count()
                                        % nth
                                == 0;
                long took = us(m.getOrDefault("takes", "100ms"));
                dues.add(new Due(nowUs + took, order++, () -> {
                    RequestHandle h = requests.get(s.id);
                    if (!fails) {
                        answers.putIfAbsent(s.id, "completed");
                    }
                    AttemptResult bad = AttemptResult.valueOf(
                            m.getOrDefault("fails-as", "errored").toUpperCase());
                    h.ended(nowUs, s.attemptNo, fails ? bad : AttemptResult.COMPLETED, took, !fails, LoadReport.NONE);
                }));
            }
        }

        private void end(String id, AttemptResult ending, Map<String, String> named) {
            Sent s = lastSend(id);
            boolean over = ending == AttemptResult.COMPLETED || answers.containsKey(id);
            if (over) {
                answers.putIfAbsent(id, "completed");
            }
            requests.get(id).ended(nowUs, s.attemptNo, ending, nowUs - s.atUs, over, LoadReport.NONE);
        }

        /** What silent endpoints still hold has waited for nothing. */
        private void timeOut() {
            for (Sent s : List.copyOf(sends)) {
                if (manners.getOrDefault(s.endpoint, Map.of()).containsKey("silent")
                        && !answers.containsKey(s.id)
                        && lastSend(s.id) == s) {
                    requests.get(s.id)
                            .ended(nowUs, s.attemptNo, AttemptResult.TIMED_OUT, nowUs - s.atUs, false, LoadReport.NONE);
                }
            }
        }

        private Sent lastSend(String id) {
            return sends.stream()
                    .filter(s -> s.id.equals(id))
                    .reduce((a, b) -> b)
                    .orElse(null);
        }

        private void runTo(long toUs) {
            gate();
            while (!dues.isEmpty() && dues.peek().atUs <= toUs) {
                Due due = dues.poll();
                nowUs = Math.max(nowUs, due.atUs);
                due.what.run();
            }
            nowUs = toUs;
        }

        private DecisionEngine gate() {
            if (gate == null) {
                List<RoutePolicy> routes = new ArrayList<>();
                for (String r : terms.getOrDefault("routes", "retriable").split(",")) {
                    String[] p = r.split(":");
                    RoutePolicy.Group group =
                            p.length > 1 ? RoutePolicy.Group.valueOf(p[1].toUpperCase()) : RoutePolicy.Group.ALL;
                    routes.add(new RoutePolicy(
                            RoutePolicy.Repeat.valueOf(p[0].toUpperCase().replace('-', '_')),
                            group,
                            us(terms.getOrDefault("remember", "3s")),
                            1_000_000,
                            routes.size() + 1));
                }
                double[] caps = Arrays.stream(
                                terms.getOrDefault("caps", "0.2,0.6,1").split(","))
                        .mapToDouble(Double::parseDouble)
                        .toArray();
                RolloutPolicy rollout = new RolloutPolicy(
                        RolloutPolicy.Gatekeeping.valueOf(
                                terms.getOrDefault("gate", "first_voice").toUpperCase()),
                        us(terms.getOrDefault("least", "1s")),
                        6_000_000,
                        1_200_000,
                        caps,
                        (int) num(terms, "guarded", 0),
                        terms.containsKey("per-route"),
                        terms.containsKey("one-way"),
                        num(terms, "free", 2),
                        (int) num(terms, "back-votes", 1),
                        num(terms, "votes-per-s", 50),
                        terms.containsKey("counts"));
                gate = new ReleaseGate(
                        new RelaySettings(
                                7,
                                (int) num(terms, "relays", 1),
                                (int) num(terms, "number", 0),
                                routes,
                                List.of(),
                                1,
                                (int) num(terms, "tries", 4),
                                true,
                                true,
                                1_000_000,
                                terms.containsKey("must-ask"),
                                0.34,
                                us(terms.getOrDefault("warm", "2s")),
                                2.5,
                                1_000_000,
                                num(terms, "opening", 0),
                                us(terms.getOrDefault("kept", "20s")),
                                rollout),
                        this);
                gate.start(nowUs);
            }
            return gate;
        }

        /** Endpoints as id/build, with @start, !draining or !gone, and #kind where wanted. */
        private List<Endpoint> endpoints(String[] w) {
            List<Endpoint> found = new ArrayList<>();
            for (int i = 1; i < w.length; i++) {
                String[] p = w[i].split("(?=[/@!#%$])");
                Map<Character, String> parts = new HashMap<>();
                Arrays.stream(p).skip(1).forEach(x -> parts.put(x.charAt(0), x.substring(1)));
                buildOf.put(p[0], Integer.parseInt(parts.get('/')));
                zoneOf.put(p[0], Integer.parseInt(parts.getOrDefault('$', "0")));
                found.add(new Endpoint(
                        p[0],
                        buildOf.get(p[0]),
                        zoneOf.get(p[0]),
                        Integer.parseInt(parts.getOrDefault('#', "0")),
                        Integer.parseInt(parts.getOrDefault('%', "0")),
                        Endpoint.Health.valueOf(parts.getOrDefault('!', "ready").toUpperCase()),
                        parts.containsKey('@') ? startUs + us(parts.get('@')) : 0));
            }
            return found;
        }

        private static double num(Map<String, String> from, String name, double otherwise) {
            return from.containsKey(name) ? Double.parseDouble(from.get(name)) : otherwise;
        }

        private static long us(String time) {
            return time.endsWith("ms")
                    ? Math.round(Double.parseDouble(time.replace("ms", "")) * 1000)
                    : Math.round(Double.parseDouble(time.replace("s", "")) * 1_000_000);
        }

        @Override
        public void send(String id, String endpoint, long timeoutUs) {
            int attemptNo = (int) sends.stream().filter(s -> s.id.equals(id)).count();
            assertThat(answers.get(id))
                    .as("nothing is sent after the final answer of " + id)
                    .isNull();
            sends.add(new Sent(nowUs, id, endpoint, attemptNo));
            later(sends.get(sends.size() - 1));
        }

        @Override
        public void shed(String id, long pauseUs) {
            assertThat(answers.put(id, "shed")).as("one final answer for " + id).isNull();
        }

        @Override
        public void error(String id) {
            assertThat(answers.put(id, "error"))
                    .as("one final answer for " + id)
                    .isNull();
        }

        @Override
        public void cancel(String id, int attemptNo) {
            cancels.add(id);
        }

        @Override
        public void vote(int build, int stage, Verdict verdict) {
            votes.add(verdict);
        }

        @Override
        public void timer(long inUs, long token) {
            dues.add(new Due(nowUs + inUs, order++, () -> gate.due(nowUs, token)));
        }

        @Override
        public void followList() {
            follows++;
        }

        @Override
        public void say(String line) {}
    }
}
