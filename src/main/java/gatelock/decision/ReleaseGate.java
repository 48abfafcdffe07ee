package gatelock.decision;

import gatelock.api.*;
import java.util.*;
import java.util.random.RandomGenerator;
import java.util.stream.*;

/**
 * THE module: every decision of one relay. It is called through {@link DecisionEngine} and {@link RequestHandle} and calls out
 * on {@link DecisionActions}; all three stand in gatelock.api. One thread calls it; its clock is the calls'.
 *
 * <p>Read {@link RequestState#place} first, the ordinary path of a request, then {@link #weigh}, that of a vote. The rest
 * is what these two ask: what a build may get (Build), what an endpoint may (Endpoint), how outcomes are weighed.
 */
public final class ReleaseGate implements DecisionEngine {

    private static final long SECOND = 1_000_000;
    private static final long BEAT_US = SECOND / 4; // overdue tries are looked for, a verdict is drawn

    /** Page (what its page gives): outcomes in slices of this length; with fewer canary no verdict. */
    private static final long SLICE_US = SECOND;

    private static final int FEWEST = 20;
    private static final int MOST_HELD = 300; // outcomes a slice; of more, a fair sample keeps a look quick
    /** Page: both bars. Ours: 1.5 between builds, as endpoints of one kind differ by a fifth. */
    private static final double PERCENTILE = 0.9;

    private static final double FLEET_MARGIN = 1.25;
    private static final double MORE_WORK = 1.2; // the fleet against itself only while no more work comes
    private static final double MARGIN = 1.5;
    private static final double ERROR_BAR = 0.02;
    /** Page: latency counts from endpoints older than this, or than the time in which they are surely warm. */
    private static final long WARM_UP_US = 3 * SECOND;

    private static final long PATIENCE_US = SECOND; // a close call holds so long past the least time
    private static final long LONG_PATIENCE_US = 3 * SECOND; // page, if few endpoints fail or counts decide
    private static final long HOLD_LEAD_US = SECOND; // where a clock moves stages: a hold, before time is up
    private static final double COUNTS_MARGIN =
            2; // where the release controller's counts decide, as like load is unknown
    private static final int DRAWS = 200; // of the interval, with this share left out at either end (95%)
    private static final double TAIL = 0.025;
    private static final double TAIL_WIDTH = 1.96;
    private static final double DOUBT = 0.3; // rarer by chance than this: one voice of many holds
    private static final double FALSE_BACKS = 0.05; // share of looks in which relays go wrong together
    private static final int TRIAL_SLICES = 8; // few enough to notice a late change
    private static final int EARLIER_SLICES = 20;
    private static final int FEWEST_SLICES = 3; // for a confident fail: two can't show a spread
    private static final long CONFIRM_ERRORS_US = 3 * SECOND / 2; // one look in many fails by chance
    private static final long CONFIRM_SLOW_US = 3 * SECOND;
    private static final int LOAD_STEPS = 24; // like load: steps of one request in flight
    private static final double PRIOR = 4; // few outcomes are drawn to what all show, which weighs as so many
    /** Troubles strike at most this share of the endpoints with errors, and of those with slowness. */
    private static final double SICK_PART = 0.25;

    private static final double SLOW_PART = 0.5;
    private static final long WATCH_US = 12 * SECOND; // how long a released build is watched
    private static final long CLOCK_LAG_US = SECOND; // a stage's clock after its machines, or its start
    private static final long CLOCK_LATEST_US = 8 * SECOND;
    /** Votes: renewed after this share of their life; the wait after one that was turned away. */
    private static final double RENEW_AT = 0.6;

    private static final long REVOTE_US = 400_000;
    private static final double AT_ONCE = 1.5; // times its rate, of the 2 that the release controller takes at once
    private static final double DESK_PART =
            0.9; // of the release controller's rate, what renewals of all relays may use
    private static final double TURN_STEP = 0.382; // of all relays, how far turns move on with each stage
    private static final int VOICES_LOGGED = 2; // of all relays, so many log a vote that is not back

    /** Measures of an endpoint fade over this time, and longer the less of the requests one relay of many sees. */
    private static final double SPEED_MEMORY_US = 4.0 * SECOND;

    private static final double FEW_RELAYS = 8;
    private static final double LONGEST = 4;
    private static final double RATE_MEMORY_US = 3.0 * SECOND;
    private static final double WORK_MEMORY_US = 6.0 * SECOND;
    /** In flight: measured rate x share of the objective; floors at one endpoint, and for all relays an endpoint. */
    private static final double OBJECTIVE_SHARE = 0.4;

    private static final double INFLIGHT_FLOOR = 2;
    private static final double FLEET_FLOOR = 6;
    private static final double QUICK_TIMES = 3; // at most, while answers take less of the objective than
    private static final double QUICK_SHARE = 0.55;
    private static final double ROOM_FOR_LEAST = 0.5; // of that room, what the least valuable requests may use
    /** Work of one place that a canary endpoint may be sent; of a cold one's rule, by what it surely can do. */
    private static final double TRIAL_TIMES = 1.5;

    private static final double COLD_PART = 0.75;
    private static final double TRIAL_WAIT = 2; // of the earlier build's time, in flight at a canary endpoint
    private static final double SAVED_US = SECOND / 4.0; // the most time's worth that such a budget saves up
    private static final double TAKEN_PART = 0.25; // of work taken, where less was completed of late
    /** An attempt is overdue after this long plus a multiple of what its work usually takes. */
    private static final long OVERDUE_US = 300_000;

    private static final double OVERDUE_TIMES = 3;
    private static final long STOOD_US = 600_000; // the relay itself stood still: no call, for two beats
    private static final double SICK_ERRORS = 0.35; // out of use: of an endpoint's late outcomes and one good one
    private static final double ZONE_MEMORY_US = 2.0 * SECOND; // tries by zone, and how many tell of one
    private static final double FEWEST_OF_ZONE = 2.5;
    private static final double TRY_BAD = 0.1; // of its retriable requests, still sent to an endpoint out of use
    private static final double MOST = 0.6; // if more endpoints look bad, the endpoints are not the cause

    /** A route is odd if it needs so many times what another does; its part of the room if it is late too. */
    private static final double ODD_TIMES = 2.5;

    private static final double HOPELESS_PART = 0.15;
    /** Where a new connection has a price, endpoints looked at for two to which one stands: a look has none. */
    private static final int LOOKS = 8;
    /** Connections are few if more than this share of connects fail; one stands if used this long ago. */
    private static final double REFUSED_SHARE = 0.05;

    private static final long OPEN_US = SECOND / 4;

    private static final double RETRY_SHARE = 0.1;
    private static final double RECONNECT = RETRY_SHARE; // no endpoint has worked: each request may go on once
    private static final double RETRY_BURST = 5;
    private static final long SHED_PAUSE_US = 500_000;
    private static final long ASK_AGAIN_US = 300_000;
    private static final long ASK_SLOWEST_US = 4 * SECOND;

    private static final long BEAT = 0;
    private static final long ASK_LIST = 1;
    private static final int DESK = -2;

    private final RelaySettings charter;
    private final DecisionActions out;
    private final RandomGenerator chance;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final TreeMap<Integer, Build> builds = new TreeMap<>();
    private final Map<Long, RequestState> byToken = new HashMap<>();
    private final Map<Long, Integer> pinned = new HashMap<>();
    private final DecayingSum[] cost;
    private final DecayingSum[] tenantRate;
    private final DecayingSum answers = new DecayingSum(RATE_MEMORY_US);
    private final DecayingSum done = new DecayingSum(WORK_MEMORY_US);
    private final DecayingSum taken = new DecayingSum(WORK_MEMORY_US);
    private double takenBefore;
    private long startUs;
    private final TimeoutTracker zones = new TimeoutTracker(ZONE_MEMORY_US);
    private final DecayingMeanByKind slowByKind = new DecayingMeanByKind(SPEED_MEMORY_US);
    private int places = 1;
    private int inFlight;
    private final int[] routeInFlight;
    private final DecayingSum[] routeSlow;
    private boolean someBad = true;
    private final DecayingSum refused = new DecayingSum(WORK_MEMORY_US);
    private final DecayingSum heard = new DecayingSum(WORK_MEMORY_US);
    private final Set<RequestState.Attempt> attemptsOut = new LinkedHashSet<>();
    private long nowUs;
    private long stoodUs = Long.MIN_VALUE / 2;
    private long stoodForUs;
    private long nextToken = 2;
    private double retryTokens = RETRY_BURST;
    private long askWaitUs = ASK_AGAIN_US;
    private boolean askSet;

    // The newest build as last told.
    private int newest = -1;
    private int stage;
    private Phase phase = Phase.WITHDRAWN;
    private double cap;
    private long stageFromUs;
    private long bootUs; // from a stage's start until its machines were listed, as last seen
    private final Set<Integer> withdrawn = new HashSet<>();

    // This relay's vote.
    private Verdict stands = Verdict.NONE;
    private long castUs;
    private boolean answerDue;
    private long voteNotBeforeUs;
    private long failedUs;
    private long weighedUs;
    private String ground = "";
    private final double logLevel;
    private final double stretch; // how much wider an interval must be, as any of many voices may be wrong
    private final double topValue;
    private final int number;
    private final boolean many;
    private final double endpointMemoryUs;
    private long leastUs; // when the stage's least time has passed: from then on all relays' turns count
    private long verdictUs;
    private Verdict verdict = Verdict.NONE;

    /** The decisions of one relay, from what it is told at its start and its way out. */
    public ReleaseGate(RelaySettings charter, DecisionActions out) {
        this.charter = charter;
        this.out = out;
        this.chance = new SplittableRandom(charter.seed());
        this.cost = DecayingSum.of(charter.routes().size() + 1, 20.0 * SECOND);
        this.tenantRate = DecayingSum.of(charter.tenants().size(), RATE_MEMORY_US);
        this.routeInFlight = new int[charter.routes().size()];
        this.routeSlow = DecayingSum.of(charter.routes().size(), WORK_MEMORY_US);
        this.topValue =
                charter.routes().stream().mapToDouble(RoutePolicy::value).max().orElse(1);
        this.logLevel = Bootstrap.logLevel(
                FALSE_BACKS, charter.relays(), Math.max(1, charter.rollout().backVotes()));
        this.stretch = Math.max(1, Bootstrap.normalWidth(logLevel) / TAIL_WIDTH);
        this.many = charter.relays() > FEW_RELAYS;
        this.endpointMemoryUs = SPEED_MEMORY_US * Math.min(LONGEST, Math.max(1, charter.relays() / FEW_RELAYS));
        this.number = charter.number() >= 0 ? charter.number() : chance.nextInt(charter.relays());
    }

    /** Guards against this relay having stood still: what then waits came late through no endpoint's fault. */
    private void clock(long nowUs) {
        if (nowUs - this.nowUs > STOOD_US && this.nowUs > 0) {
            stoodUs = nowUs;
            stoodForUs = nowUs - this.nowUs;
        }
        this.nowUs = nowUs;
    }

    // ---- What happens to the relay ----------------------------------------------------------------------

    @Override
    public void start(long nowUs) {
        clock(nowUs);
        startUs = nowUs;
        out.timer(BEAT_US, BEAT);
        if (charter.mustAskForList()) {
            out.followList();
        }
    }

    @Override
    public RequestHandle take(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long leftUs,
            long costUs,
            RequestConstraints bounds) {
        clock(nowUs);
        RequestState request = new RequestState(id, route, tenant, key, nowUs + leftUs, costUs, bounds);
        builds.values().forEach(b -> b.room.earn(route, b.capNow()));
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
        if (tenant < tenantRate.length) {
            tenantRate[tenant].add(nowUs, 1);
        }
        taken.add(nowUs, request.costUs);
        byToken.put(request.token, request);
        out.timer(leftUs, request.token);
        request.place();
        return request;
    }

    /** Rules 3 and 5 for what is not placed: nothing to an endpoint that leaves, to the canary within its cap. */
    @Override
    public Passing message(long nowUs, String endpoint, int route, boolean first) {
        clock(nowUs);
        EndpointState u = endpoints.get(endpoint);
        if (first) {
            builds.values().forEach(b -> b.room.earn(route, b.capNow()));
        }
        if (u == null || !u.mayGetNew()) {
            return Passing.NEVER;
        }
        boolean canary = u.build.onCanary();
        if (canary && !u.build.room.has(route)) {
            return Passing.LATER;
        }
        u.build.room.take(route, canary ? 1 : 0);
        return Passing.NOW;
    }

    @Override
    public void listed(long nowUs, ListForm form, List<Endpoint> entries) {
        clock(nowUs);
        if (form == ListForm.FAILED) {
            if (!askSet) {
                askSet = true;
                out.timer(askWaitUs, ASK_LIST);
                askWaitUs = Math.min(ASK_SLOWEST_US, askWaitUs * 2);
            }
            return;
        }
        askWaitUs = ASK_AGAIN_US;
        if (form != ListForm.DELTA) {
            endpoints.values().forEach(u -> u.health = Endpoint.Health.GONE);
        }
        for (Endpoint l : entries) {
            EndpointState u = endpoints.get(l.endpoint());
            if (u == null || u.at.startUs() != l.startUs() || u.build.number != l.build()) {
                // A restarted or re-used id is a new endpoint: nothing of its past holds.
                if (!builds.containsKey(l.build())) {
                    builds.values().stream()
                            .flatMap(b -> Stream.of(b.own, b.counts))
                            .forEach(OutcomeHistory::keep);
                    takenBefore = work(taken);
                }
                u = new EndpointState(l, builds.computeIfAbsent(l.build(), Build::new));
                endpoints.put(l.endpoint(), u);
                bootUs = l.build() == newest && l.startUs() >= stageFromUs ? nowUs - stageFromUs : bootUs;
            }
            u.health = l.health();
        }
        builds.values().forEach(b -> b.ready.clear());
        // Ids, builds and keys come and go: an endpoint that left is forgotten with its last attempt, a build with its
        // endpoints once it is before all that is compared, a key once no build is left that it may not go to.
        endpoints.values().removeIf(u -> u.health == Endpoint.Health.GONE && u.out.isEmpty());
        Build earlier = earlierThan(newest);
        builds.keySet()
                .removeIf(n -> earlier != null
                        && n < earlier.number
                        && endpoints.values().stream().noneMatch(u -> u.build.number == n));
        pinned.values().removeIf(n -> builds.isEmpty() || n <= builds.firstKey());
        endpoints.values().stream()
                .filter(u -> u.health == Endpoint.Health.READY)
                .forEach(u -> u.build.ready.add(u));
        places = Math.max(
                1, builds.values().stream().mapToInt(b -> b.ready.size()).max().orElse(0));
    }

    @Override
    public void news(long nowUs, int build, int stage, Phase phase, double cap, long agoUs, VoteAnswer answer) {
        clock(nowUs);
        answerDue &= answer == VoteAnswer.NOT_ASKED;
        if (answer != VoteAnswer.NOT_ASKED && answer != VoteAnswer.COUNTED) {
            // Guards against hammering a release controller that turns votes away or is silent, whatever its reason.
            stands = Verdict.NONE;
            voteNotBeforeUs = nowUs + REVOTE_US + chance.nextLong(REVOTE_US);
            return;
        }
        boolean before = build < newest
                || build == newest && (phase.compareTo(this.phase) < 0 || phase == this.phase && stage < this.stage);
        if (before && nowUs - agoUs <= stageFromUs) {
            // Guards against a vote's answer that newer news on their own connection have overtaken.
            return;
        }
        boolean moved = build != newest || stage != this.stage || phase != this.phase;
        if (build != newest || moved && stands != Verdict.BACK) {
            stands = Verdict.NONE;
        }
        newest = build;
        this.stage = stage;
        this.phase = phase;
        this.cap = phase == Phase.TRIAL || phase == Phase.RELEASED ? cap : 0;
        withdrawn.remove(build);
        if (phase == Phase.REVERTING || phase == Phase.WITHDRAWN) {
            withdrawn.add(build);
        }
        if (moved) {
            stageFromUs = nowUs - agoUs;
            weigh();
        }
    }

    @Override
    public void complaint(long nowUs, String endpoint, int route, long agoUs) {
        clock(nowUs);
        EndpointState u = endpoints.get(endpoint);
        if (u != null && nowUs - agoUs >= u.at.startUs()) {
            // A wrong answer is an error of the build; it looked like any other when it came.
            u.build.record(u, true, false, 0, 0);
        }
    }

    @Override
    public void counted(long nowUs, int build, int route, int count, int failed, long meanUs, long agoUs) {
        clock(nowUs);
        Build b = builds.get(build);
        if (b != null && count > 0 && route >= 0 && route < charter.routes().size()) {
            long endUs = nowUs - agoUs;
            long age = b.ready.stream()
                    .map(u -> endUs - u.at.startUs())
                    .sorted()
                    .skip(b.ready.size() / 2)
                    .findFirst()
                    .orElse(0L);
            // They stand as outcomes of one endpoint a route, each route a kind of its own.
            // The release controller tells no attempt without an answer or a connection from an error; own endings do.
            b.counts.add(new OutcomeWindow(
                    endUs / SLICE_US,
                    IntStream.range(0, count)
                            .filter(i -> i >= failed || chance.nextDouble() < heard.mean(nowUs, 1))
                            .mapToObj(i -> new AttemptOutcome(route, DESK - route, i < failed, false, meanUs, 0, age))
                            .toList()));
        }
    }

    @Override
    public void due(long nowUs, long token) {
        clock(nowUs);
        RequestState request = byToken.get(token);
        if (request != null) {
            request.turnAway();
        } else if (token == BEAT) {
            out.timer(BEAT_US, BEAT);
            List.copyOf(attemptsOut).forEach(t -> t.endpoint.lookForOverdue(t));
            // Guards against a zone cut off or gone before the list says so: all its endpoints would be tried.
            // Could harm where its sick endpoints had the few attempts: a tenth still goes there.
            zones.look(nowUs, FEWEST_OF_ZONE, MOST, SICK_ERRORS);
            List<EndpointState> there = builds.values().stream()
                    .flatMap(b -> b.ready.stream())
                    .filter(u -> !zones.lost().contains(u.at.zone()))
                    .toList();
            someBad = there.stream().filter(EndpointState::looksBad).count() <= MOST * there.size();
            weigh();
        } else if (token == ASK_LIST) {
            askSet = false;
            out.followList();
        }
    }

    // ---- A request --------------------------------------------------------------------------------------------

    private final class RequestState implements RequestHandle {
        private final String id;
        private final RoutePolicy route;
        private final int routeNo;
        private final int tenant;
        private final long key;
        private final long endUs;
        private final long costUs;
        private final boolean hinted;
        /** What was set for it beyond the charter; asked only for less than would be done without. */
        private final RequestConstraints bounds;

        private final long token = nextToken++;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean over;
        private int outNow;

        RequestState(String id, int routeNo, int tenant, long key, long endUs, long hintUs, RequestConstraints bounds) {
            this.id = id;
            this.bounds = bounds;
            this.routeNo = routeNo;
            this.route = charter.routes().get(routeNo);
            this.tenant = tenant;
            this.key = key;
            this.endUs = endUs;
            this.hinted = hintUs > 0;
            this.costUs = hinted ? hintUs : Math.max(1, (long) cost[routeNo].mean(nowUs, route.objectiveUs() / 8.0));
        }

        /** The ordinary path, for a first attempt and for any further one. */
        private void place() {
            boolean first = attempts.isEmpty();
            double most = claim() * mostInFlight(route);
            boolean room = inFlight + chance.nextDouble() < most
                    && (!hopeless(routeNo) || routeInFlight[routeNo] + chance.nextDouble() < most * HOPELESS_PART);
            // 1. First sends fill the cap of the canary build.
            EndpointState endpoint = first && room ? choose(true) : null;
            // 2. The rest goes to the released build, and what it has no room for to those before it.
            endpoint = endpoint != null || !room ? endpoint : choose(false);
            // 3. A retry goes to the canary only if nowhere else: first sends have the cap.
            endpoint = endpoint != null || first || !room ? endpoint : choose(true);
            if (endpoint == null || nowUs >= endUs) {
                turnAway();
                return;
            }
            endpoint.build.room.take(routeNo, endpoint.build.onCanary() ? 1 : 0);
            Attempt t = new Attempt(endpoint);
            attempts.add(t);
            attemptsOut.add(t);
            outNow++;
            inFlight++;
            routeInFlight[routeNo]++;
            endpoint.sent(t);
            out.send(id, endpoint.at.endpoint(), bounds.attemptUs());
        }

        private EndpointState choose(boolean canary) {
            return builds.descendingMap().values().stream()
                    .filter(b -> b.onCanary() == canary && b.mayTake(this))
                    .map(b -> b.pick(this))
                    .filter(Objects::nonNull)
                    .findFirst()
                    .orElse(null);
        }

        private boolean neverRan() {
            return attempts.stream().allMatch(Attempt::neverRan);
        }

        /** Rule 2: whether a retry may go to this endpoint, after its first n tries. */
        private boolean mayRepeatAt(EndpointState endpoint, int n) {
            return route.repeat() == RoutePolicy.Repeat.RETRIABLE
                    || attempts.stream()
                            .limit(n)
                            .allMatch(t -> t.neverRan()
                                    || route.repeat() == RoutePolicy.Repeat.DEDUPED
                                            && nowUs - t.sentUs < route.rememberUs() * 8 / 10
                                            && switch (route.group()) {
                                                case ALL -> true;
                                                case ZONE -> t.endpoint.at.zone() == endpoint.at.zone();
                                                case CELL -> t.endpoint.at.cell() == endpoint.at.cell();
                                            });
        }

        /** An attempt has failed: one more, within the budget, or the final answer at once. */
        private void again() {
            boolean may = nowUs < endUs && (neverRan() || route.repeat() != RoutePolicy.Repeat.NON_RETRIABLE);
            AttemptResult last = attempts.get(attempts.size() - 1).ending;
            double price = last == AttemptResult.NOT_CONNECTED || last == AttemptResult.NOT_SENT ? RECONNECT : 1;
            if (may
                    && retryTokens >= price
                    && attempts.size() < Math.min(charter.attemptLimit(), bounds.mostAttempts())
                    && bounds.goesOn(nowUs, last)) {
                retryTokens -= price;
                place();
            } else {
                turnAway();
            }
        }

        private void turnAway() {
            boolean harmless = nowUs < endUs
                    && (neverRan()
                            || route.repeat() == RoutePolicy.Repeat.RETRIABLE
                            || route.repeat() == RoutePolicy.Repeat.DEDUPED && route.group() == RoutePolicy.Group.ALL);
            finish();
            if (harmless) {
                out.shed(id, charter.pausesHeard() ? Math.min(charter.longestPauseUs(), SHED_PAUSE_US) : 0);
            } else {
                out.error(id);
            }
        }

        private void finish() {
            over = true;
            byToken.remove(token);
        }

        @Override
        public void ended(long now, int attemptNo, AttemptResult ending, long tookUs, boolean isOver, LoadReport load) {
            clock(now);
            Attempt t = attempts.get(attemptNo);
            t.ending = ending;
            outNow--;
            inFlight -= t.overdue ? 0 : 1;
            attemptsOut.remove(t);
            routeInFlight[routeNo]--;
            t.endpoint.ended(t, ending, tookUs, load);
            if (!over && (isOver || ending == AttemptResult.COMPLETED)) {
                finish();
            } else if (!over && (nowUs >= endUs || outNow == 0)) {
                again();
            }
        }

        @Override
        public boolean mayGo(long now, int attemptNo) {
            clock(now);
            return !over
                    && attempts.get(attemptNo).endpoint.mayGetNew()
                    && mayRepeatAt(attempts.get(attemptNo).endpoint, attemptNo);
        }

        @Override
        public void concluded(long now) {
            clock(now);
            finish();
        }

        @Override
        public boolean settled() {
            return over && outNow == 0;
        }

        /** How much of an endpoint's room this request may use: by its value beside the most valuable. */
        private double claim() {
            double value = topValue > 0 ? route.value() / topValue : 1;
            if (tenant < tenantRate.length) {
                double perS = tenantRate[tenant].count(nowUs) * SECOND / RATE_MEMORY_US;
                if (perS * charter.relays() > charter.tenants().get(tenant).quotaPerS() * 1.1) {
                    value *= charter.overShareValue();
                }
            }
            return ROOM_FOR_LEAST + (1 - ROOM_FOR_LEAST) * value;
        }

        private final class Attempt {
            private final RequestState request = RequestState.this;
            private final int number = attempts.size();
            private final long sentUs = nowUs;
            private final EndpointState endpoint;
            private final int ahead;
            private AttemptResult ending;
            private boolean cancelled;
            private boolean overdue;

            Attempt(EndpointState endpoint) {
                this.endpoint = endpoint;
                this.ahead = endpoint.out.size();
            }

            private boolean neverRan() {
                return ending != null && ending.neverRan;
            }
        }
    }

    // ---- A build ------------------------------------------------------------------------------------------

    /** One build: its endpoints, what it may get, and what came back from it. */
    private final class Build {
        private final int number;
        private final List<EndpointState> ready = new ArrayList<>();
        private final OutcomeHistory own = new OutcomeHistory(EARLIER_SLICES, MOST_HELD, chance);
        private final OutcomeHistory counts =
                new OutcomeHistory(EARLIER_SLICES * charter.routes().size(), 0, chance);
        private final ExposureBudget room; // rule 5, by what the cap has earned
        private final DecayingSum slowness = new DecayingSum(SPEED_MEMORY_US);
        private final DecayingSum ahead = new DecayingSum(RATE_MEMORY_US);

        Build(int number) {
            this.number = number;
            int slots = charter.rollout().perRoute() ? charter.routes().size() : 1;
            room = new ExposureBudget(slots, charter.rollout().free());
        }

        private boolean onCanary() {
            return number > newest || number == newest && phase != Phase.RELEASED;
        }

        private double capNow() {
            double[] caps = charter.rollout().caps();
            return number == newest ? cap : caps.length == 0 ? 0 : caps[0];
        }

        private boolean mayTake(RequestState request) {
            boolean guarded = (number == newest ? stage : 0) < charter.rollout().guardedStages();
            return isOpen()
                    && keyAllows(request)
                    && (!onCanary()
                            || room.has(request.routeNo)
                                    && (!guarded || request.route.repeat() == RoutePolicy.Repeat.RETRIABLE));
        }

        /** Rule 5: nothing new to a build that went back, or that is canary without a cap. */
        private boolean isOpen() {
            return !withdrawn.contains(number) && (!onCanary() || capNow() > 0);
        }

        /** One-way keys: what a build has answered goes to no build before it, unless that was taken back. */
        private boolean keyAllows(RequestState request) {
            int floor = pinned.getOrDefault(request.key, number);
            return number >= floor || withdrawn.contains(floor);
        }

        /** Two random choices, the one with the shorter expected wait; more only where one is refused. */
        private EndpointState pick(RequestState request) {
            EndpointState best = null;
            double claim = request.claim();
            boolean few = connectionsAreFew();
            for (int i = 0, found = 0; i < ready.size() && found < 2; i++) {
                Collections.swap(ready, i, i + chance.nextInt(ready.size() - i));
                EndpointState u = ready.get(i);
                boolean attemptBad = request.route.repeat() == RoutePolicy.Repeat.RETRIABLE
                        && request.attempts.isEmpty()
                        && chance.nextDouble() < TRY_BAD;
                if (request.bounds.reaches(u.at.endpoint())
                        && u.hasRoom(request, claim)
                        && request.mayRepeatAt(u, request.attempts.size())
                        && request.attempts.stream().noneMatch(t -> t.endpoint == u)
                        && (!someBad || attemptBad || !u.looksBad())) {
                    boolean open = few && u.connected();
                    boolean better = best == null
                            || (few && open != best.connected()
                                    ? open
                                    : u.expectedWait(request) < best.expectedWait(request));
                    best = better ? u : best;
                    boolean stands = charter.openingPrice() == 0 || onCanary() || u.lineStands();
                    found += (few ? open : stands || i >= LOOKS - 1) ? 1 : 0;
                }
            }
            return best;
        }

        private void record(EndpointState endpoint, boolean failed, boolean late, double slowness, double load) {
            long ageUs = endpoint.at.startUs() > 0 ? nowUs - endpoint.at.startUs() : Long.MAX_VALUE;
            own.add(
                    nowUs / SLICE_US,
                    new AttemptOutcome(endpoint, endpoint.at.kind(), failed, late, slowness, load, ageUs));
        }
    }

    // ---- An endpoint -------------------------------------------------------------------------------------------

    private final class EndpointState {
        private final Endpoint at;
        private final Build build;
        private final Set<RequestState.Attempt> out = new LinkedHashSet<>();
        private final DecayingSum slowness = new DecayingSum(endpointMemoryUs);
        private final DecayingSum failures = new DecayingSum(endpointMemoryUs);
        private final DecayingSum answers = new DecayingSum(RATE_MEMORY_US);
        private final DecayingSum ahead = new DecayingSum(RATE_MEMORY_US);
        private double budget = -chance.nextDouble() * meanCost();
        private long budgetUs = nowUs;
        private Endpoint.Health health;
        private long lastAnswerUs = Long.MIN_VALUE / 2;
        private double waiting;
        private long waitingAtUs = Long.MIN_VALUE / 2;
        private final IdleConnectionEstimate lines = new IdleConnectionEstimate();

        EndpointState(Endpoint l, Build build) {
            this.at = l;
            this.build = build;
        }

        private void sent(RequestState.Attempt t) {
            ahead.add(nowUs, out.size());
            build.ahead.add(nowUs, out.size());
            out.add(t);
            lines.use(nowUs, charter.keptUs());
            budget -= t.request.costUs * Math.max(1, build.slowness.mean(nowUs, 0) / usualSlowness(at.kind()));
        }

        private void ended(RequestState.Attempt t, AttemptResult ending, long tookUs, LoadReport load) {
            out.remove(t);
            if (ending == AttemptResult.COMPLETED
                    || ending == AttemptResult.ERRORED
                    || ending == AttemptResult.TURNED_AWAY) {
                lines.leave(nowUs, charter.keptUs());
            }
            if (ending == AttemptResult.NOT_SENT || ending == AttemptResult.CANCELLED && !t.cancelled) {
                return;
            }
            // What a route needs on any endpoint, more than others, says nothing of this one or its build.
            double slow = (double) tookUs / t.request.costUs / timesOthers(t.request.routeNo);
            if (!build.onCanary()) {
                refused.add(nowUs, ending == AttemptResult.NOT_CONNECTED ? 1 : 0);
            }
            boolean silent = ending == AttemptResult.TIMED_OUT;
            if (ending != AttemptResult.CANCELLED && ending != AttemptResult.NOT_CONNECTED && !(silent && t.overdue)) {
                zones.add(nowUs, at.zone(), silent);
            }
            if (ending == AttemptResult.COMPLETED) {
                lastAnswerUs = nowUs;
                answers.add(nowUs, 1);
                ReleaseGate.this.answers.add(nowUs, 1);
                done.add(nowUs, t.request.costUs);
                boolean tells = stoodUs != nowUs;
                if (tells) {
                    slowness.add(nowUs, slow);
                }
                if (tells && !cold()) {
                    build.slowness.add(nowUs, slow);
                }
                if (tells && !build.onCanary()) {
                    slowByKind.add(nowUs, at.kind(), slow);
                }
                for (int i : new int[] {t.request.routeNo, cost.length - 1}) {
                    cost[i].add(nowUs, t.request.hinted ? t.request.costUs : tookUs);
                }
                if (build.number >= newest && charter.rollout().oneWay() && t.request.key != NO_KEY) {
                    pinned.merge(t.request.key, build.number, Math::max);
                }
            } else if (!t.overdue) {
                failures.add(nowUs, 1);
            }
            // An attempt without an answer counts as a very slow one, not as an error: load alone can cause it.
            boolean unheard = ending == AttemptResult.TIMED_OUT || ending == AttemptResult.CANCELLED;
            boolean noError = unheard || ending == AttemptResult.NOT_CONNECTED && connectionsAreFew();
            if (ending != AttemptResult.COMPLETED) {
                heard.add(nowUs, noError ? 0 : 1);
            }
            // An endpoint that is silent to all says nothing of one route: its attempts would make it look hopeless.
            boolean spoke = ending == AttemptResult.COMPLETED || unheard && lastAnswerUs > t.sentUs;
            if (!build.onCanary() && stoodUs != nowUs && spoke) {
                routeSlow[t.request.routeNo].add(nowUs, (double) tookUs / t.request.costUs);
            }
            if (!Double.isNaN(load.waiting())) {
                waiting = load.waiting();
                waitingAtUs = nowUs;
            }
            if (ending == AttemptResult.NOT_CONNECTED && connectionsAreFew()
                    || (unheard || ending == AttemptResult.COMPLETED) && stoodUs == nowUs) {
                return;
            }
            double others = (charter.relays() - 1) * ahead.drawn(nowUs, build.ahead.mean(nowUs, 0), PRIOR);
            build.record(
                    this,
                    ending != AttemptResult.COMPLETED && !unheard,
                    tookUs > t.request.route.objectiveUs(),
                    slow,
                    (t.ahead + out.size()) / 2.0 + others);
        }

        /**
         * Guards against an endpoint that stands still, has vanished, is slow, or loses this relay's tries, alone
         * or not: an attempt that is long overdue. It holds no room any more and counts against the endpoint. If most
         * endpoints are well, what may run elsewhere is called off and goes on there; the rest waits.
         * Could harm where announced work says little of the time it takes.
         */
        private void lookForOverdue(RequestState.Attempt t) {
            double usual = Math.max(slowness.mean(nowUs, 0), usualSlowness(at.kind())) * t.request.costUs;
            if (t.overdue
                    || stoodUs == nowUs
                    || hopeless(t.request.routeNo)
                    || nowUs - t.sentUs <= OVERDUE_US + OVERDUE_TIMES * usual) {
                return;
            }
            t.overdue = true;
            inFlight--;
            failures.add(nowUs, 1);
            zones.add(nowUs, at.zone(), true);
            if (!t.request.over
                    && t.request.route.repeat() != RoutePolicy.Repeat.NON_RETRIABLE
                    && charter.mayCancel()
                    && someBad
                    && retryTokens >= 1) {
                t.cancelled = true;
                ReleaseGate.this.out.cancel(t.request.id, t.number);
            }
        }

        /** Guards against an endpoint that fails much or leaves tries overdue, whatever the cause. */
        private boolean looksBad() {
            double bad = failures.count(nowUs);
            return zones.lost().contains(at.zone()) && !cold() || bad / (bad + slowness.count(nowUs) + 1) > SICK_ERRORS;
        }

        /** Rules 3 and 5: nothing new to what leaves or came back as another, nor to a build not open. */
        private boolean mayGetNew() {
            return health == Endpoint.Health.READY && endpoints.get(at.endpoint()) == this && build.isOpen();
        }

        /** Whether a connection to it surely stands: it is in use, or was an instant ago. */
        private boolean connected() {
            return !out.isEmpty() || nowUs - lastAnswerUs < OPEN_US;
        }

        private boolean cold() {
            return at.startUs() > 0 && nowUs - at.startUs() < charter.warmWithinUs();
        }

        /** The part of its capacity that an endpoint of this age surely has. */
        private double able() {
            double warm = cold() ? Math.max(0.0, nowUs - at.startUs()) / charter.warmWithinUs() : 1;
            return charter.coldFrom() + (1 - charter.coldFrom()) * warm;
        }

        /** In flight bounded by measured rate x time, canary the earlier build's, and by its budget. */
        private boolean hasRoom(RequestState request, double claim) {
            double perUs = answers.count(nowUs) / RATE_MEMORY_US;
            double most = (INFLIGHT_FLOOR + perUs * request.route.objectiveUs() * OBJECTIVE_SHARE) * claim;
            if (build.onCanary()) {
                most = Math.min(most, 1 + perUs * TRIAL_WAIT * usualSlowness(at.kind()) * meanCost());
            }
            return out.size() < most && (!cold() && !build.onCanary() || inBudget());
        }

        /**
         * Rule 4, for all relays together: each sends its part of the work that one place bears, times what
         * the endpoint surely can do at its age. The parts add up to a multiple of what the fleet completes; one
         * that is under a request waits, from a start drawn by chance. A slow build's requests cost more.
         */
        private boolean inBudget() {
            double times = cold() ? Math.min(TRIAL_TIMES, COLD_PART * charter.coldMultiple()) : TRIAL_TIMES;
            double works = Math.max(done.sum(nowUs), TAKEN_PART * taken.sum(nowUs)) / WORK_MEMORY_US;
            double rate = times * able() * works / places * usualSlowness(-1) / usualSlowness(at.kind());
            budget = Math.min(budget + rate * (nowUs - budgetUs), rate * SAVED_US);
            budgetUs = nowUs;
            return budget > 0;
        }

        /** In announced work; not canary a new connection counts as the wait that costs as much worth. */
        private double expectedWait(RequestState request) {
            double queue = nowUs - waitingAtUs < SECOND ? waiting : 0;
            double opening = lineStands() || build.onCanary()
                    ? 0
                    : charter.openingPrice() * request.route.objectiveUs() / request.costUs;
            return slowness.drawn(nowUs, usualSlowness(at.kind()), 1) * (out.size() + 1 + queue) + opening;
        }

        /** Whether a connection to it surely stands without a request. */
        private boolean lineStands() {
            return lines.stands(nowUs, charter.keptUs());
        }
    }

    /**
     * Guards against endpoints that take few connections, of whatever cause: connects fail also where no build is
     * canary. Then this relay keeps to connections that stand, failed connects say nothing of a build, and
     * going on to another endpoint costs little. Could harm where a released build crashes: its failed connects
     * no longer call it back.
     */
    private boolean connectionsAreFew() {
        return refused.mean(nowUs, 0) > REFUSED_SHARE;
    }

    /**
     * Guards against one route that waits at every endpoint, whatever for: its requests end too late, those of
     * another in time. It gets few places, as each holds one that others need. Could harm where a route's
     * requests are still of worth when late.
     */
    private boolean hopeless(int route) {
        return usualTook(route) > charter.routes().get(route).objectiveUs() && timesOthers(route) > 1;
    }

    /** How many times the time per announced work of the quickest route this one needs, on any endpoint. */
    private double timesOthers(int route) {
        double times = slownessOf(route)
                / IntStream.range(0, routeSlow.length)
                        .mapToDouble(this::slownessOf)
                        .min()
                        .orElse(1);
        return times > ODD_TIMES ? times : 1;
    }

    private double slownessOf(int route) {
        return routeSlow[route].drawn(nowUs, usualSlowness(-1), PRIOR);
    }

    private double usualTook(int route) {
        return slownessOf(route) * cost[route].mean(nowUs, meanCost());
    }

    /** What may be in flight over all endpoints: measured rate x time, and this relay's share of a floor. */
    private double mostInFlight(RoutePolicy route) {
        double perUs = answers.count(nowUs) / RATE_MEMORY_US;
        double took = IntStream.range(0, routeSlow.length)
                .mapToDouble(r -> usualTook(r) / charter.routes().get(r).objectiveUs())
                .min()
                .orElse(0);
        double quick = Math.max(1, Math.min(QUICK_TIMES, QUICK_SHARE / took));
        double backlog = nowUs - stoodUs < SECOND ? perUs * stoodForUs : 0;
        double inTime = perUs * route.objectiveUs() * OBJECTIVE_SHARE;
        return quick * (FLEET_FLOOR * places / charter.relays() + inTime) + backlog;
    }

    /** Time per announced work at the endpoints not canary: of one kind (-1: all), drawn to that of all. */
    private double usualSlowness(int kind) {
        return slowByKind.mean(nowUs, kind, 1.5);
    }

    /** Of late, as if it had come for long. */
    private double work(DecayingSum sum) {
        return sum.sum(nowUs) / (1 - Math.exp((startUs - nowUs - 1) / WORK_MEMORY_US));
    }

    private double meanCost() {
        return cost[cost.length - 1].mean(nowUs, SECOND / 5.0); // announced work of a request, of late
    }

    // ---- The vote -----------------------------------------------------------------------------------------

    /** The ordinary path of a vote: what the outcomes say, what the stage's time allows, what to say. */
    private void weigh() {
        Build canary = builds.get(newest);
        if (canary == null || phase == Phase.REVERTING || phase == Phase.WITHDRAWN) {
            return;
        }
        Assessment finding = find(canary, earlierThan(newest));
        long sinceUs = Math.min(BEAT_US, nowUs - weighedUs);
        long lastedUs = failedUs + (finding.fails() ? sinceUs : -sinceUs);
        failedUs = finding == Assessment.PASS ? 0 : Math.max(0, lastedUs);
        weighedUs = nowUs;
        long confirmUs = finding == Assessment.ERRORS || many ? CONFIRM_ERRORS_US : CONFIRM_SLOW_US;
        boolean sure = finding.fails() && failedUs >= confirmUs;
        if (phase == Phase.RELEASED) {
            // Released: nothing shows like load any more; errors count, or many voices.
            boolean bad = sure && (finding == Assessment.ERRORS || many) && nowUs - stageFromUs < WATCH_US;
            cast(bad ? Verdict.BACK : Verdict.NONE);
            return;
        }
        leastUs = clockFromUs(canary) + charter.rollout().leastUs();
        Verdict verdict;
        if (finding.fails()) {
            verdict = sure ? Verdict.BACK : Verdict.HOLD;
        } else if (finding == Assessment.PASS) {
            verdict = nowUs < leastUs ? Verdict.NONE : Verdict.ON;
        } else {
            boolean late = few(canary) && charter.rollout().counts();
            // Where half the outcomes are missing, a little more time brings no verdict either.
            int seen = OutcomeWindow.seen(canary.own.from(weighedFrom()));
            long shortUs = finding == Assessment.NO_VERDICT && seen < FEWEST / 2 ? 0 : PATIENCE_US;
            long waitUs = finding == Assessment.SUSPECT || late ? LONG_PATIENCE_US : shortUs;
            verdict = nowUs < leastUs + waitUs ? Verdict.HOLD : Verdict.ON;
        }
        boolean clock = charter.rollout().gatekeeping() == RolloutPolicy.Gatekeeping.CLOCK;
        if (clock && verdict == Verdict.HOLD && nowUs < leastUs - HOLD_LEAD_US) {
            // A hold stops the clock, so that it would have to run all its time afterwards.
            verdict = Verdict.NONE;
        }
        cast(verdict == (clock ? Verdict.ON : Verdict.HOLD) ? Verdict.NONE : verdict);
    }

    private Build earlierThan(int number) {
        return builds.headMap(number, false).descendingMap().values().stream()
                .filter(b -> !withdrawn.contains(b.number) && !b.own.isEmpty())
                .findFirst()
                .orElse(null);
    }

    /**
     * When the stage's clock began to run, as far as can be told: its machines up, and a little. Those not
     * listed yet are waited for as long as the last took: some stages bring none.
     */
    private long clockFromUs(Build canary) {
        long startUs =
                canary.ready.stream().mapToLong(u -> u.at.startUs()).max().orElse(0);
        long latestUs = stageFromUs + CLOCK_LATEST_US;
        long upUs = Math.min(latestUs, startUs >= stageFromUs ? startUs : stageFromUs + bootUs);
        return canary.ready.isEmpty() ? latestUs : upUs + CLOCK_LAG_US;
    }

    /**
     * Guards against a fleet whose voices together are more than the release controller takes, of any size: each waits for
     * its place in a row that every relay knows, and that moves on with each stage. Could harm where those
     * first in the row are cut off from the release controller: the rest speak later than they could.
     */
    private long turnUs() {
        double perS = Math.max(0.1, charter.rollout().votesPerS());
        int step = (int) Math.max(1, TURN_STEP * charter.relays());
        int place = (int) Math.floorMod(number + (newest + (long) stage) * step, (long) charter.relays());
        return (long) (Math.max(0, place - AT_ONCE * perS) / perS * SECOND);
    }

    /** Votes of all relays are renewed no faster than the release controller takes them; back is by its voices alone. */
    private long renewUs(Verdict verdict) {
        double allUs = charter.relays()
                * SECOND
                / (DESK_PART * Math.max(0.1, charter.rollout().votesPerS()));
        double soonUs = charter.rollout().voteLifeUs() * RENEW_AT;
        return (long) (verdict == Verdict.BACK ? soonUs : Math.max(soonUs, allUs));
    }

    private void cast(Verdict verdict) {
        boolean lapsing = nowUs - castUs > renewUs(verdict);
        boolean waiting = answerDue && nowUs - castUs < charter.rollout().voteWaitUs();
        verdictUs = verdict == this.verdict ? verdictUs : nowUs;
        this.verdict = verdict;
        boolean said = verdict == stands && (verdict == Verdict.NONE || !lapsing);
        long fromUs = turnUs() + (verdict == Verdict.ON ? leastUs : verdictUs);
        if (said || waiting || nowUs < voteNotBeforeUs || verdict != Verdict.BACK && nowUs < fromUs) {
            return;
        }
        boolean logged = verdict != stands && chance.nextInt(charter.relays()) < VOICES_LOGGED;
        if (logged || verdict == Verdict.BACK) {
            out.say(verdict + " build " + newest + " stage " + stage + ": " + ground);
        }
        stands = verdict;
        castUs = nowUs;
        answerDue = true;
        out.vote(newest, stage, verdict);
    }

    /** Whether the release controller's sample holds more of the canary than this relay's own outcomes. */
    private boolean few(Build canary) {
        return OutcomeWindow.seen(canary.counts.from(weighedFrom()))
                >= OutcomeWindow.seen(canary.own.from(weighedFrom()));
    }

    private long weighedFrom() {
        return nowUs / SLICE_US - TRIAL_SLICES + 1;
    }

    /**
     * The verdict, from own outcomes. Where many relays share the requests and the release controller's sampled counts hold
     * more of the canary than these, counts decide unless own outcomes fail for sure: late, means for
     * percentiles, and the same for every relay, so that one relay's chance does not add to another's.
     */
    private Assessment find(Build canary, Build earlier) {
        if (earlier == null) {
            return many ? oneOfMany(canary.own.from(weighedFrom()), List.of(), List.of()) : Assessment.NO_VERDICT;
        }
        Assessment found = compare(canary, canary.own, earlier.own, earlier.own.all(), MARGIN, FLEET_MARGIN, stretch);
        if (found.fails() || !few(canary)) {
            return found;
        }
        // Set against the last that the earlier build had, as a trouble of both may have begun only then.
        List<OutcomeWindow> last = earlier.counts.from(earlier.counts.last() - TRIAL_SLICES + 1);
        return compare(canary, canary.counts, earlier.counts, last, COUNTS_MARGIN, MARGIN, 1);
    }

    /** Intervals of the canary's errors and percentile against the bars, and what else lies behind a fail. */
    private Assessment compare(
            Build canary,
            OutcomeHistory its,
            OutcomeHistory earlier,
            List<OutcomeWindow> theirs,
            double margin,
            double fleet,
            double stretch) {
        List<OutcomeWindow> mine = its.from(weighedFrom());
        Assessment found = compare(mine, theirs, margin, stretch, FEWEST);
        boolean slow = found == Assessment.SLOW;
        String said = ground;
        if (!found.fails() && its == canary.own && many) {
            Assessment asOne = oneOfMany(mine, theirs, earlier.from(weighedFrom()));
            if (asOne != Assessment.NO_VERDICT) {
                return asOne;
            }
            ground = said;
        }
        if (found.fails() && its == canary.own) {
            // Guards against sick, slow or ill-placed endpoints taken for a bad build: without its worst endpoints
            // the build must fail all the same. Errors of its oldest endpoints count alone: builds may turn bad
            // with age. Could harm where a build is bad on one kind of machine only.
            List<Object> odd = OutcomeWindow.worst(mine, AttemptOutcome::error, SICK_PART);
            long asOldUs = SECOND
                    + canary.ready.stream()
                            .filter(odd::contains)
                            .mapToLong(u -> u.at.startUs())
                            .max()
                            .orElse(0);
            boolean alone = !slow
                    && canary.ready.stream().filter(u -> !odd.contains(u)).noneMatch(u -> u.at.startUs() <= asOldUs);
            List<OutcomeWindow> well = slow
                    ? OutcomeWindow.withoutWorst(mine, AttemptOutcome::slowness, SLOW_PART)
                    : OutcomeWindow.without(mine, odd);
            boolean rest = alone || compare(well, theirs, MARGIN, stretch, FEWEST / 2) == found;
            return rest ? found : Assessment.SUSPECT;
        }
        // Guards against a build that slows old and new endpoints alike, which the relative bar hides: all endpoints
        // are set against what the earlier build needed before the canary, without the worse half of them, as
        // other troubles spare some; with many relays, whose like load is a guess, only if no more work comes
        // than then. Could harm when something else slows the whole fleet during a canary.
        if (found.fails() || many && work(taken) > MORE_WORK * takenBefore) {
            return found;
        }
        List<OutcomeWindow> all = new ArrayList<>(mine);
        all.addAll(earlier.from(weighedFrom()));
        List<Object> endpoints = OutcomeWindow.worst(all, AttemptOutcome::slowness);
        List<OutcomeWindow> best =
                OutcomeWindow.without(all, endpoints.subList(0, (int) (endpoints.size() * SLOW_PART)));
        boolean allSlow = compare(best, earlier.before(), fleet, stretch, FEWEST) == Assessment.SLOW;
        ground = allSlow ? ground : said;
        return allSlow ? Assessment.SLOW : found;
    }

    private Assessment compare(
            List<OutcomeWindow> mine, List<OutcomeWindow> theirs, double margin, double stretch, int fewest) {
        int seen = OutcomeWindow.seen(mine);
        ground = seen + " outcomes";
        if (seen < fewest) {
            return Assessment.NO_VERDICT;
        }
        int[] once = Bootstrap.once(theirs.size());
        // What strikes both builds is not held against one; sick endpoints of the earlier build are no excuse.
        List<Object> sick = OutcomeWindow.worst(theirs, AttemptOutcome::error);
        boolean known = !theirs.isEmpty()
                && sick.get(0) instanceof EndpointState
                && OutcomeWindow.seen(theirs) >= PRIOR * sick.size();
        sick = sick.subList(0, known ? (int) Math.ceil(sick.size() * SICK_PART) : 0);
        double least = margin > MARGIN ? margin * ERROR_BAR : ERROR_BAR;
        double errorBar = Math.max(
                least,
                Math.max(margin, MARGIN)
                        * Bootstrap.share(OutcomeWindow.counts(OutcomeWindow.without(theirs, sick)), once));
        long[][] counts = OutcomeWindow.counts(mine);
        double[] errors =
                Bootstrap.interval(mine.size(), DRAWS, TAIL, stretch, chance, times -> Bootstrap.share(counts, times));
        boolean enough = mine.size() >= FEWEST_SLICES;
        ground += String.format(", errors %.3f to %.3f, bar %.3f", errors[0], errors[1], errorBar);
        if (errors[0] > errorBar && enough) {
            return Assessment.ERRORS;
        }
        LatencyByLoad like = new LatencyByLoad(theirs, LOAD_STEPS, FEWEST / 2);
        double[][] there = like.against(theirs, 0);
        double[][] here = like.against(mine, Math.max(WARM_UP_US, charter.warmWithinUs()));
        if (here.length < fewest || there.length == 0) {
            return Assessment.NO_VERDICT;
        }
        double bar = margin * Bootstrap.percentile(there, once, PERCENTILE);
        double[] slow = Bootstrap.interval(
                mine.size(), DRAWS, TAIL, stretch, chance, times -> Bootstrap.percentile(here, times, PERCENTILE));
        ground += String.format(", slowness %.2f to %.2f, bar %.2f", slow[0], slow[1], bar);
        if (slow[0] > bar && enough) {
            return Assessment.SLOW;
        }
        return errors[1] < errorBar && slow[1] < bar ? Assessment.PASS : Assessment.CLOSE;
    }

    /**
     * Guards against bad builds of which each relay of many sees too little: an exact interval's lower end,
     * at the level at which as many voices as send it back are not wrong together. Endpoints are counted. Could
     * harm where a trouble strikes mostly canary endpoints.
     */
    private Assessment oneOfMany(List<OutcomeWindow> mine, List<OutcomeWindow> theirs, List<OutcomeWindow> lately) {
        double errorBar =
                Math.max(ERROR_BAR, MARGIN * Math.max(OutcomeWindow.errors(theirs), OutcomeWindow.errors(lately)));
        Assessment errors = past(
                OutcomeWindow.seen(mine),
                OutcomeWindow.outcomes(mine).filter(AttemptOutcome::failed),
                errorBar,
                Assessment.ERRORS);
        if (errors == Assessment.ERRORS) {
            return errors;
        }
        LatencyByLoad like = new LatencyByLoad(theirs, LOAD_STEPS, FEWEST / 2);
        double[][] there = like.against(theirs, 0);
        // A relay that has just started knows no earlier times: a route's objective stands for the bar.
        double bar = MARGIN * Bootstrap.percentile(there, Bootstrap.once(theirs.size()), PERCENTILE);
        long warmUs = Math.max(WARM_UP_US, charter.warmWithinUs());
        List<AttemptOutcome> warm = OutcomeWindow.outcomes(mine)
                .filter(o -> !o.failed() && o.ageUs() > warmUs && !(there.length > 0 && Double.isNaN(like.usual(o))))
                .toList();
        Assessment slow = past(
                warm.size(),
                warm.stream().filter(o -> there.length == 0 ? o.late() : o.slowness() / like.usual(o) > bar),
                1 - PERCENTILE,
                Assessment.SLOW);
        return slow == Assessment.NO_VERDICT ? errors : slow;
    }

    /** What it means that so many endpoints are past a bar: as given if it is rarer than one voice may err. */
    private Assessment past(int seen, Stream<AttemptOutcome> past, double share, Assessment fail) {
        int endpoints = (int) past.map(AttemptOutcome::endpoint).distinct().count();
        double chance = Bootstrap.tail(seen, endpoints, share);
        ground = seen + " outcomes, " + endpoints + " units past the bar of " + String.format("%.3f", share);
        Assessment doubt = chance < DOUBT ? Assessment.SUSPECT : Assessment.NO_VERDICT;
        return endpoints > 1 && chance < Math.exp(logLevel) ? fail : doubt;
    }
}
