package gatelock.fleet;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import gatelock.api.Verdict;
import gatelock.decision.ReleaseGate;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.standin.EndpointRestriction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A fleet in simulated time: the real module of every relay, and a plain world of endpoints, clients, a list that
 * comes late and a release controller that takes so many calls a second. One seed gives one course of events.
 */
final class SimulatedFleet {
    static final long MS = 1_000;
    static final long S = 1_000_000;

    /** What a fleet is made of; the figures are round ones of our own. */
    static final class Terms {
        int relays = 100;
        int endpoints = 60;
        double requestsPerS = 280;
        long seed = 1;
        /** The busiest relays get so many times what the least busy do. */
        double uneven = 6;

        double workUs = 360 * MS;
        int slots = 4;
        int zones = 2;
        int queue = 30;
        double coldFrom = 0.4;
        long warmUs = 3 * S;
        double coldMultiple = 2.5;
        long windowUs = S;
        double[] shares = {0.08, 0.6, 1};
        double slack = 2;
        double free = 2;
        long exposureUs = 2 * S;
        long bakeUs = S;
        double onShare = 0.4;
        double backShare = 0.15;
        double callsPerS = 15;
        double openingPrice = 0.08;
        /** Of the build on offer: share of errors, and times the work that it needs. */
        double newFails;

        double newWork = 1;
        /** It is bad only on endpoints older than this, with more than this share of their places busy. */
        long badFromUs;

        double badFromBusy;

        /** Where there are several, each request is for one, and reaches only that one's endpoints. */
        int services = 1;
        /** Endpoints of a service, and so its requests, go with its rank to minus this. */
        double serviceSkew;
        /** Of all relays, so many are played, spread evenly over their numbers; 0: all. */
        int relaysPlayed;
        /** What a relay's link to discovery carries; 0: any amount, and a relay that starts knows the list. */
        long linkBytesPerS;
        /** Within this long every relay has a change that discovery could tell. */
        long toldWithinUs = 7 * S;
        /** From a drain until its process ends, and from a loss until discovery knows of it. */
        long drainUs = 10 * S;

        long lostSeenUs = 3 * S;
        /** Whether a relay holds what its scope says, and not the whole list. */
        boolean scoped;
        /** Endpoints of one service that a scope aims at, some of them in other zones, and when it lets go of one. */
        int perService = 5;

        int leastElsewhere = 2;
        /** Relays that a scope wants to hold each endpoint on the mean. */
        int leastHolders = EndpointSubset.LEAST_HOLDERS;

        long settleUs = 10 * S;
        Fault fault = Fault.NONE;

        int played() {
            return relaysPlayed > 0 ? Math.min(relays, relaysPlayed) : relays;
        }

        /** Room for all endpoints: what bounds a scope here is what it aims at. */
        EndpointSubset.Terms scope(int relay) {
            return new EndpointSubset.Terms(
                    relay,
                    relay % zones,
                    endpoints,
                    perService,
                    Math.min(1, leastHolders / (double) relays),
                    leastElsewhere,
                    settleUs);
        }

        double able(long ageUs) {
            return Math.min(1, coldFrom + (1 - coldFrom) * Math.max(0, ageUs) / warmUs);
        }

        int voices(double share) {
            return Math.max(1, (int) Math.ceil(share * relays));
        }
    }

    /** A fault planted for the checker to find; it strikes the first relay, or the first endpoint. */
    enum Fault {
        NONE,
        CHANGE_MISSED,
        DRAIN_LATE,
        HELD_BY_ALL
    }

    /** A service: its requests reach its endpoints alone, as a pool of a plan has it. */
    private record Service(String name, Set<String> names, double upTo) implements EndpointRestriction {
        @Override
        public boolean reaches(String endpoint) {
            return names.contains(endpoint);
        }
    }

    private record Due(long atUs, long order, Runnable what) {}

    final Terms terms;
    final FleetRecords records = new FleetRecords();
    final Controller controller;
    final CpuMeter meter;
    private final SimulatedDiscovery discovery;
    private final List<Service> services = new ArrayList<>();
    private final SplittableRandom chance;
    private final PriorityQueue<Due> dues = new PriorityQueue<>(
            (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final List<Relay> relays = new ArrayList<>();
    private final List<RoutePolicy> routes = List.of(
            new RoutePolicy(RoutePolicy.Repeat.RETRIABLE, RoutePolicy.Group.ALL, 10 * S, 2 * S, 2),
            new RoutePolicy(RoutePolicy.Repeat.DEDUPED, RoutePolicy.Group.ALL, 12 * S, 3 * S, 5),
            new RoutePolicy(RoutePolicy.Repeat.NON_RETRIABLE, RoutePolicy.Group.ALL, 10 * S, 4 * S, 5));
    private final long[] waitsUs = {5 * S, 12 * S, 16 * S};
    private long nowUs;
    private long order;
    private long ids;
    private boolean quiet;
    private int endpointsEver;

    SimulatedFleet(Terms terms) {
        this(terms, new CpuMeter(false));
    }

    SimulatedFleet(Terms terms, CpuMeter meter) {
        this.terms = terms;
        this.meter = meter;
        this.chance = new SplittableRandom(terms.seed);
        this.discovery = new SimulatedDiscovery(terms, records);
        this.controller = new Controller();
        nowUs = 100 * S;
        addServices();
        for (int i = 0; i < terms.endpoints; i++) {
            endpoint(1, 0, serviceOf(i));
        }
        discovery.holds(endpoints.values().stream().map(EndpointState::entry).toList());
        for (int i = 0; i < terms.played(); i++) {
            double weight = Math.pow(terms.uneven, chance.nextDouble() * 2 - 1);
            relays.add(new Relay((int) ((long) i * terms.relays / terms.played()), weight));
        }
        meter.heapBefore();
        double all = relays.stream().mapToDouble(r -> r.weight).sum();
        for (Relay r : relays) {
            r.perS = terms.requestsPerS * r.weight / all;
            r.start();
            r.arrive();
        }
        meter.heapAfter();
        controller.look();
    }

    /** Services by rank: the last one's share ends at 1. */
    private void addServices() {
        double all = IntStream.rangeClosed(1, terms.services)
                .mapToDouble(this::weight)
                .sum();
        double upTo = 0;
        for (int i = 1; i <= terms.services; i++) {
            upTo += weight(i) / all;
            services.add(new Service("s" + i, new HashSet<>(), i == terms.services ? 1 : upTo));
        }
    }

    private double weight(int rank) {
        return Math.pow(rank, -terms.serviceSkew);
    }

    /** The first endpoints are one for each service, the rest go by the services' shares. */
    private int serviceOf(int endpoint) {
        return endpoint < terms.services
                ? endpoint
                : at((endpoint - terms.services + 0.5) / (terms.endpoints - terms.services));
    }

    private int at(double share) {
        int low = 0;
        int high = services.size() - 1;
        while (low < high) {
            int mid = (low + high) / 2;
            if (services.get(mid).upTo > share) {
                high = mid;
            } else {
                low = mid + 1;
            }
        }
        return low;
    }

    /** A new process; where there are several services its name tells which one is its own. */
    private EndpointState endpoint(int build, long startUs, int service) {
        String name = (terms.services > 1 ? services.get(service).name + "-" : "") + "u" + endpointsEver;
        EndpointState u = new EndpointState(name, endpointsEver++, build, startUs, service);
        endpoints.put(name, u);
        services.get(service).names.add(name);
        return u;
    }

    long nowUs() {
        return nowUs;
    }

    List<Relay> relays() {
        return relays;
    }

    /** Times the requests of all relays from now on. */
    void load(double times) {
        relays.forEach(r -> r.perS *= times);
    }

    void run(long forUs) {
        long toUs = nowUs + forUs;
        while (!dues.isEmpty() && dues.peek().atUs <= toUs) {
            Due due = dues.poll();
            nowUs = due.atUs;
            due.what.run();
        }
        nowUs = toUs;
    }

    /** Lets all that is out come to its end, with nothing new; returns the rules that were broken by then. */
    List<String> broken() {
        quiet = true;
        run(20 * S);
        records.endUs = nowUs;
        discovery.countHolders(relays.size(), name -> endpoints.get(name).number);
        return records.broken(terms);
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    /** Some of the endpoints, chosen by chance, stand still again and again from now on. */
    void pauseSome(double share, long forUs, long everyUs) {
        for (EndpointState u : List.copyOf(endpoints.values())) {
            if (chance.nextDouble() < share) {
                pauseAgain(u, forUs, everyUs);
            }
        }
    }

    /** All endpoints of a zone stand still for so long, and nothing tells of it. */
    void pauseZone(int zone, long forUs) {
        endpoints.values().stream().filter(u -> u.zone == zone).forEach(u -> u.pause(forUs));
    }

    private void pauseAgain(EndpointState u, long forUs, long everyUs) {
        in((long) (everyUs * exp()), () -> {
            u.pause(forUs);
            pauseAgain(u, forUs, everyUs);
        });
    }

    private void in(long us, Runnable what) {
        dues.add(new Due(nowUs + us, order++, what));
    }

    private double exp() {
        return -Math.log(1 - chance.nextDouble());
    }

    /** Starts so many endpoints of a build; they run at once, and every relay hears of them by itself. */
    List<EndpointState> launch(int build, int count) {
        List<EndpointState> fresh = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fresh.add(endpoint(build, nowUs, 0));
        }
        fresh.forEach(EndpointState::begins);
        tell(fresh);
        return fresh;
    }

    /** Discovery's list has changed: every relay that is up is told, each when its link has carried it. */
    private void tell(List<EndpointState> changed) {
        SimulatedDiscovery.Message message = discovery.changed(
                nowUs, changed.stream().map(EndpointState::entry).toList());
        long lateUs = 200 * MS + chance.nextLong(600 * MS);
        for (Relay r : relays) {
            long readyUs = nowUs + lateUs + chance.nextLong(300 * MS);
            if (r.up) {
                r.told(message, readyUs);
            }
        }
    }

    /** The whole list for a relay that has just started. */
    private void tellWhole(Relay relay) {
        relay.told(discovery.whole(nowUs), nowUs + 200 * MS + chance.nextLong(600 * MS));
    }

    // ---- What happens to machines -------------------------------------------------------------------------

    /** A ready endpoint by chance. */
    private EndpointState someEndpoint() {
        List<EndpointState> ready = endpoints.values().stream()
                .filter(u -> u.health == Endpoint.Health.READY)
                .toList();
        return ready.get(chance.nextInt(ready.size()));
    }

    /** One endpoint is drained, ends, and another comes for it: three changes of the list. */
    void replaceOne() {
        EndpointState u = someEndpoint();
        u.health = Endpoint.Health.DRAINING;
        tell(List.of(u));
        in(terms.drainUs, () -> {
            u.ends();
            u.health = Endpoint.Health.GONE;
            tell(List.of(u));
            in(2 * S, () -> launchFor(u.service));
        });
    }

    /** One machine is lost, which discovery sees later, and another comes for it. */
    void loseOne() {
        EndpointState u = someEndpoint();
        lose(List.of(u));
        in(terms.lostSeenUs + 2 * S, () -> launchFor(u.service));
    }

    private void launchFor(int service) {
        EndpointState fresh = endpoint(1, nowUs, service);
        fresh.begins();
        tell(List.of(fresh));
    }

    private void lose(List<EndpointState> lost) {
        lost.forEach(EndpointState::lost);
        in(terms.lostSeenUs, () -> {
            List<EndpointState> still = lost.stream().filter(u -> u.lost).toList();
            still.forEach(u -> u.health = Endpoint.Health.GONE);
            tell(still);
        });
    }

    /** Endpoints under one switch, all in one zone, are lost and back cold. */
    void loseRack(int zone, int count, long backUs) {
        List<EndpointState> rack = endpoints.values().stream()
                .filter(u -> u.zone == zone)
                .limit(count)
                .toList();
        lose(rack);
        in(backUs, () -> comeBack(rack));
    }

    /** All endpoints and relays of a zone are lost and back cold. */
    void loseZone(int zone, long backUs) {
        List<EndpointState> there =
                endpoints.values().stream().filter(u -> u.zone == zone).toList();
        relays.stream().filter(r -> r.zone() == zone).forEach(r -> r.kill(backUs));
        lose(there);
        in(backUs, () -> comeBack(there));
    }

    /** All endpoints and relays are started anew, relays first, from the list that they knew; endpoints zone by zone. */
    void restartAll(long relaysBackUs, long endpointsBackUs) {
        List<EndpointState> all = List.copyOf(endpoints.values());
        relays.forEach(r -> r.kill(relaysBackUs));
        all.forEach(EndpointState::lost);
        for (int zone = 0; zone < terms.zones; zone++) {
            int of = zone;
            in(
                    endpointsBackUs + zone * 2 * S / terms.zones,
                    () -> comeBack(all.stream().filter(u -> u.zone == of).toList()));
        }
    }

    private void comeBack(List<EndpointState> those) {
        those.forEach(u -> {
            u.health = Endpoint.Health.READY;
            u.startUs = nowUs;
            u.begins();
        });
        tell(those);
    }

    private void drain(int build) {
        List<EndpointState> those = endpoints.values().stream()
                .filter(u -> u.build == build && u.health == Endpoint.Health.READY)
                .toList();
        those.forEach(u -> u.health = Endpoint.Health.DRAINING);
        tell(those);
    }

    /** A process with places to work in and a queue; a connection bears one request at a time. */
    final class EndpointState {
        final String name;
        final int build;
        private final int service;
        private final int number;
        private long startUs;
        private final double speed = 0.85 + 0.3 * chance.nextDouble();
        private final ArrayDeque<Work> waiting = new ArrayDeque<>();
        private Endpoint.Health health = Endpoint.Health.READY;
        private final int zone;
        private long silentUntilUs;
        private int busy;
        /** Nothing that is sent there has an answer, or no connection comes up. */
        private boolean lost;

        private boolean ended;
        /** Counts processes: what an earlier one had in work is gone. */
        private int life;

        EndpointState(String name, int number, int build, long startUs, int service) {
            this.name = name;
            this.number = number;
            this.zone = (number + 1) % terms.zones;
            this.build = build;
            this.startUs = startUs;
            this.service = service;
        }

        SimulatedDiscovery.Entry entry() {
            return new SimulatedDiscovery.Entry(new EndpointEntry(
                    name,
                    services.get(service).name,
                    SimulatedDiscovery.address(number),
                    zone,
                    0,
                    0,
                    build,
                    health,
                    startUs));
        }

        private void begins() {
            lost = false;
            life++;
            busy = 0;
            waiting.clear();
            records.starts.add(new FleetRecords.Start(name, terms.slots, nowUs));
        }

        private void lost() {
            lost = true;
            life++;
            busy = 0;
            waiting.clear();
        }

        /** Its process ends: what it had not finished is broken off. */
        private void ends() {
            ended = true;
            waiting.forEach(w -> w.answer(AttemptResult.BROKEN_OFF));
            waiting.clear();
        }

        /** Stands still for a while: what it has and what comes waits. */
        void pause(long forUs) {
            silentUntilUs = nowUs + forUs;
            in(forUs, this::next);
        }

        private void take(Work work) {
            if (lost) {
                return;
            }
            if (ended) {
                work.answer(AttemptResult.NOT_CONNECTED);
            } else if (busy >= terms.slots && waiting.size() >= terms.queue) {
                work.answer(AttemptResult.TURNED_AWAY);
            } else {
                waiting.add(work);
                next();
            }
        }

        private void next() {
            while (nowUs >= silentUntilUs && busy < terms.slots && !waiting.isEmpty()) {
                Work work = waiting.poll();
                busy++;
                records.ran.add(new FleetRecords.Ran(work.id, name, nowUs));
                double able = speed * (startUs == 0 ? 1 : terms.able(nowUs - startUs));
                boolean isBad =
                        build > 1 && nowUs - startUs >= terms.badFromUs && busy > terms.badFromBusy * terms.slots;
                boolean fails = isBad && chance.nextDouble() < terms.newFails;
                int was = life;
                in((long) (work.workUs * (isBad ? terms.newWork : 1) / able), () -> {
                    if (was == life) {
                        busy--;
                        work.answer(
                                ended
                                        ? AttemptResult.BROKEN_OFF
                                        : fails ? AttemptResult.ERRORED : AttemptResult.COMPLETED);
                        next();
                    }
                });
            }
        }
    }

    /** One try on its way. */
    private final class Work {
        private final Relay from;
        private final int life;
        private final String id;
        private final int number;
        private final EndpointState at;
        private final double workUs;
        private final long sentUs = nowUs;

        Work(Relay from, String id, int number, EndpointState at, double workUs) {
            this.from = from;
            this.life = from.life;
            this.id = id;
            this.number = number;
            this.at = at;
            this.workUs = workUs;
        }

        private void answer(AttemptResult ending) {
            in(MS, () -> from.ended(this, ending));
        }
    }

    private final class Open {
        private final double workUs = terms.workUs * exp();
        private final long endUs;
        private RequestHandle handle;
        private boolean over;
        private int attempts;

        Open(long endUs) {
            this.endUs = endUs;
        }
    }

    /** One relay as a process: its decisions, and the world around them. */
    final class Relay implements DecisionActions {
        private final int number;
        private final double weight;
        private final Map<String, Open> open = new HashMap<>();
        private final Map<String, ArrayDeque<Long>> idle = new HashMap<>();
        private final List<Work> out = new ArrayList<>();
        private double perS;
        private final BitSet held = new BitSet();
        private int life;
        private boolean up;
        private DecisionEngine gate;
        private EndpointSubset scope;
        /** When its link has carried all that it was given so far, and when the last of it is heard. */
        private long linkFreeUs;

        private long heardLastUs;
        /** The list that it left behind on its disk when it ended. */
        private List<SimulatedDiscovery.Entry> kept;

        Relay(int number, double weight) {
            this.number = number;
            this.weight = weight;
        }

        /** Ends without a word, and is back after a while with nothing that it knew. */
        void kill(long backUs) {
            up = false;
            life++;
            kept = discovery.list();
            records.heardNoMore(number);
            linkFreeUs = 0;
            heardLastUs = 0;
            open.keySet().forEach(id -> records.ended.put(id, nowUs));
            open.clear();
            idle.clear();
            out.clear();
            in(backUs, this::start);
        }

        private void start() {
            RolloutPolicy rollout = new RolloutPolicy(
                    RolloutPolicy.Gatekeeping.COUNT,
                    terms.bakeUs,
                    6 * S,
                    2 * S,
                    controller.caps(),
                    0,
                    false,
                    false,
                    terms.free,
                    terms.voices(terms.backShare),
                    terms.callsPerS,
                    false);
            RelaySettings charter = new RelaySettings(
                    terms.seed * 1000 + number * 31L + life,
                    terms.relays,
                    number,
                    routes,
                    List.of(),
                    1,
                    5,
                    true,
                    true,
                    2 * S,
                    false,
                    terms.coldFrom,
                    terms.warmUs,
                    terms.coldMultiple,
                    terms.windowUs,
                    terms.openingPrice,
                    20 * S,
                    rollout);
            boolean cached = terms.linkBytesPerS > 0 && kept != null;
            CpuMeter.Role before = meter.in(CpuMeter.Role.LIST);
            gate = new ReleaseGate(charter, this);
            scope = terms.scoped ? new EndpointSubset(terms.scope(number)) : null;
            up = true;
            gate.start(nowUs);
            takesIn(DecisionEngine.ListForm.CACHED, cached ? kept : discovery.list(), discovery.index());
            meter.in(before);
            kept = null;
            if (scope != null) {
                lookAgain(life);
            }
            controller.tell(this, DecisionEngine.VoteAnswer.NOT_ASKED);
            if (cached) {
                tellWhole(this);
            }
        }

        int zone() {
            return number % terms.zones;
        }

        /** Hands a part of the list to the decisions: all of it, or what is in scope. */
        private void takesIn(DecisionEngine.ListForm form, List<SimulatedDiscovery.Entry> entries, long index) {
            if (scope == null) {
                gate.listed(nowUs, form, SimulatedDiscovery.listed(entries));
                return;
            }
            CpuMeter.Role before = meter.in(CpuMeter.Role.SCOPE);
            EndpointSubset.Reading reading = scope.read(form != DecisionEngine.ListForm.DELTA);
            entries.forEach(e -> reading.add(e.told()));
            EndpointSubset.Change change = reading.take(nowUs, index);
            meter.in(before);
            tells(change.whole() ? form : DecisionEngine.ListForm.DELTA, change);
        }

        private void tells(DecisionEngine.ListForm form, EndpointSubset.Change change) {
            List<EndpointEntry> those = change.entries();
            if (terms.fault == Fault.HELD_BY_ALL) {
                those = new ArrayList<>(those);
                those.removeIf(e -> endpoints.get(e.name()).number == 0);
                those.add(endpoints.values().iterator().next().entry().told());
            }
            if (!change.whole() && those.isEmpty()) {
                return;
            }
            gate.listed(nowUs, form, those.stream().map(EndpointEntry::listed).toList());
            CpuMeter.Role before = meter.in(CpuMeter.Role.WORLD);
            if (change.whole()) {
                held.stream().forEach(n -> discovery.holders(n, -1));
                held.clear();
            }
            for (EndpointEntry e : those) {
                int n = endpoints.get(e.name()).number;
                boolean holds = e.health() != Endpoint.Health.GONE;
                if (held.get(n) != holds) {
                    held.set(n, holds);
                    discovery.holders(n, holds ? 1 : -1);
                }
            }
            meter.in(before);
        }

        private void lookAgain(int was) {
            in(250 * MS, () -> {
                if (was == life && up) {
                    CpuMeter.Role before = meter.in(CpuMeter.Role.SCOPE);
                    EndpointSubset.Change change = scope.due(nowUs);
                    meter.in(CpuMeter.Role.LIST);
                    tells(DecisionEngine.ListForm.DELTA, change);
                    meter.in(before);
                    lookAgain(was);
                }
            });
        }

        /** What discovery sends is on its way here, after all that was sent before. */
        private void told(SimulatedDiscovery.Message message, long readyUs) {
            boolean first = number == 0;
            boolean drain = !message.whole()
                    && message.entries().stream().anyMatch(e -> e.listed().health() == Endpoint.Health.DRAINING);
            long fromUs =
                    Math.max(readyUs + (terms.fault == Fault.DRAIN_LATE && first && drain ? 9 * S : 0), linkFreeUs);
            linkFreeUs = terms.linkBytesPerS == 0 ? fromUs : fromUs + message.bytes() * S / terms.linkBytesPerS;
            heardLastUs = Math.max(heardLastUs, linkFreeUs);
            message.record().owed(number, heardLastUs);
            if (terms.fault == Fault.CHANGE_MISSED && first && message.index() == 3) {
                return;
            }
            int was = life;
            in(heardLastUs - nowUs, () -> {
                if (was == life) {
                    hears(message);
                }
            });
        }

        private void arrive() {
            in((long) (exp() / perS * S), () -> {
                if (up && !quiet) {
                    take();
                }
                arrive();
            });
        }

        private void take() {
            String id = Long.toHexString(ids++);
            int route = chance.nextInt(routes.size());
            RequestConstraints bounds =
                    terms.services > 1 ? services.get(at(chance.nextDouble())) : RequestConstraints.NONE;
            Open request = new Open(nowUs + waitsUs[route]);
            open.put(id, request);
            records.taken.add(new FleetRecords.Taken(id, number, routes.get(route), nowUs, request.endUs));
            CpuMeter.Role before = meter.in(CpuMeter.Role.REQS);
            request.handle =
                    gate.take(nowUs, id, route, 0, chance.nextLong(5000), waitsUs[route], (long) terms.workUs, bounds);
            meter.in(before);
            settle(id, request);
        }

        private void hears(SimulatedDiscovery.Message message) {
            message.record().heard(number);
            records.told(number, message, nowUs);
            CpuMeter.Role before = meter.in(CpuMeter.Role.LIST);
            takesIn(
                    message.whole() ? DecisionEngine.ListForm.FULL : DecisionEngine.ListForm.DELTA,
                    message.entries(),
                    message.index());
            meter.in(before);
        }

        private void settle(String id, Open request) {
            if (request.over && request.handle != null && request.handle.settled()) {
                open.remove(id);
            }
        }

        private void ended(Work work, AttemptResult ending) {
            Open request = open.get(work.id);
            if (work.life != life || request == null || !out.remove(work)) {
                return;
            }
            if (ending == AttemptResult.COMPLETED && !request.over) {
                request.over = true;
                records.answers.add(new FleetRecords.Answer(work.id, nowUs, true));
            }
            if (ending != AttemptResult.TIMED_OUT && ending != AttemptResult.CANCELLED) {
                idle.computeIfAbsent(work.at.name, u -> new ArrayDeque<>()).add(nowUs);
            }
            CpuMeter.Role before = meter.in(CpuMeter.Role.REQS);
            if (scope != null && ending != AttemptResult.NOT_SENT) {
                scope.ended(
                        nowUs,
                        work.at.name,
                        ending == AttemptResult.COMPLETED
                                || ending == AttemptResult.ERRORED
                                || ending == AttemptResult.TURNED_AWAY);
            }
            request.handle.ended(nowUs, work.number, ending, nowUs - work.sentUs, request.over, LoadReport.NONE);
            meter.in(before);
            settle(work.id, request);
        }

        @Override
        public void send(String id, String endpoint, long timeoutUs) {
            CpuMeter.Role before = meter.in(CpuMeter.Role.WORLD);
            Open request = open.get(id);
            EndpointState u = endpoints.get(endpoint);
            Work work = new Work(this, id, request.attempts++, u, request.workUs);
            out.add(work);
            records.sent.add(new FleetRecords.Sent(id, number, endpoint, u.build, terms.workUs, nowUs));
            ArrayDeque<Long> standing = idle.getOrDefault(endpoint, new ArrayDeque<>());
            standing.removeIf(since -> since < nowUs - 20 * S);
            boolean stands = standing.pollLast() != null;
            records.opened += stands ? 0 : 1;
            in(stands ? MS : 3 * MS, () -> u.take(work));
            in(request.endUs - nowUs, () -> ended(work, AttemptResult.TIMED_OUT));
            meter.in(before);
        }

        private void answered(String id) {
            open.get(id).over = true;
            records.answers.add(new FleetRecords.Answer(id, nowUs, false));
            Open request = open.get(id);
            in(0, () -> settle(id, request));
        }

        @Override
        public void shed(String id, long pauseUs) {
            answered(id);
        }

        @Override
        public void error(String id) {
            answered(id);
        }

        @Override
        public void cancel(String id, int attemptNo) {
            out.stream()
                    .filter(w -> w.id.equals(id) && w.number == attemptNo)
                    .findFirst()
                    .ifPresent(w -> in(MS, () -> ended(w, AttemptResult.CANCELLED)));
        }

        @Override
        public void vote(int build, int stage, Verdict verdict) {
            int was = life;
            in(100 * MS, () -> {
                DecisionEngine.VoteAnswer answer = controller.called(number, build, stage, verdict);
                in(50 * MS, () -> {
                    if (was == life && up) {
                        controller.tell(this, answer);
                    }
                });
            });
        }

        @Override
        public void timer(long inUs, long token) {
            int was = life;
            in(inUs, () -> {
                if (was == life && up) {
                    // The gate's first two tokens are its own; every other is a request's.
                    CpuMeter.Role before = meter.in(token > 1 ? CpuMeter.Role.REQS : CpuMeter.Role.BEAT);
                    gate.due(nowUs, token);
                    meter.in(before);
                }
            });
        }

        @Override
        public void followList() {}

        @Override
        public void say(String line) {}
    }

    /** Takes votes at its rate and twice that at once, and brings the build on offer in by stages. */
    final class Controller {
        private record Voice(int build, int stage, Verdict verdict, long untilUs) {}

        private final Map<Integer, Voice> voices = new HashMap<>();
        private double tokens = 2 * terms.callsPerS;
        private long tokensUs;
        private int build = 1;
        private int stage;
        private DecisionEngine.Phase phase = DecisionEngine.Phase.RELEASED;
        private long sinceUs;
        private long clockUs;
        /** When each stage was left, and how it ended. */
        final List<Long> stageUs = new ArrayList<>();

        int turnedAway;

        DecisionEngine.Phase phase() {
            return phase;
        }

        long sinceUs() {
            return sinceUs;
        }

        private double[] caps() {
            double[] caps = new double[terms.shares.length];
            for (int i = 0; i < caps.length; i++) {
                caps[i] = Math.min(1, terms.shares[i] * terms.slack);
            }
            return caps;
        }

        /** Offers the next build. */
        void offer() {
            build++;
            stage = 0;
            phase = DecisionEngine.Phase.TRIAL;
            begin();
        }

        private void begin() {
            sinceUs = nowUs;
            clockUs = Long.MAX_VALUE;
            voices.clear();
            int has = (int)
                    endpoints.values().stream().filter(u -> u.build == build).count();
            int more = (int) Math.ceil(terms.shares[stage] * terms.endpoints) - has;
            in(2 * S, () -> {
                launch(build, more);
                clockUs = nowUs + S;
            });
            tellAll();
        }

        private void tellAll() {
            for (Relay r : relays) {
                in(50 * MS + chance.nextLong(150 * MS), () -> {
                    if (r.up) {
                        tell(r, DecisionEngine.VoteAnswer.NOT_ASKED);
                    }
                });
            }
        }

        private void tell(Relay r, DecisionEngine.VoteAnswer answer) {
            boolean isNews =
                    answer == DecisionEngine.VoteAnswer.NOT_ASKED || answer == DecisionEngine.VoteAnswer.COUNTED;
            if (isNews) {
                double cap = phase == DecisionEngine.Phase.TRIAL
                        ? caps()[stage]
                        : phase == DecisionEngine.Phase.RELEASED ? 1 : 0;
                if (phase == DecisionEngine.Phase.TRIAL) {
                    records.caps.add(new FleetRecords.Cap(r.number, build, cap, nowUs));
                } else {
                    records.caps.add(new FleetRecords.Cap(r.number, -1, 1, nowUs));
                }
                r.gate.news(nowUs, build, stage, phase, cap, nowUs - sinceUs, answer);
            } else {
                r.gate.news(nowUs, 0, 0, DecisionEngine.Phase.TRIAL, 0, 0, answer);
            }
        }

        private DecisionEngine.VoteAnswer called(int relay, int ofBuild, int ofStage, Verdict verdict) {
            records.calls.add(nowUs);
            tokens = Math.min(2 * terms.callsPerS, tokens + (nowUs - tokensUs) * terms.callsPerS / S);
            tokensUs = nowUs;
            if (tokens < 1) {
                turnedAway++;
                return DecisionEngine.VoteAnswer.BUSY;
            }
            tokens--;
            boolean back = verdict == Verdict.BACK;
            if (ofBuild != build || ofStage != stage && !back) {
                return DecisionEngine.VoteAnswer.MOOT;
            }
            voices.put(relay, new Voice(ofBuild, ofStage, verdict, nowUs + 6 * S));
            return DecisionEngine.VoteAnswer.COUNTED;
        }

        int standing(Verdict verdict) {
            return (int) voices.values().stream()
                    .filter(v -> v.verdict == verdict
                            && v.build == build
                            && v.untilUs > nowUs
                            && (verdict == Verdict.BACK || v.stage == stage))
                    .count();
        }

        private void look() {
            in(250 * MS, this::look);
            if (phase != DecisionEngine.Phase.TRIAL && phase != DecisionEngine.Phase.RELEASED || build == 1) {
                return;
            }
            if (standing(Verdict.BACK) >= terms.voices(terms.backShare)) {
                phase = DecisionEngine.Phase.REVERTING;
                sinceUs = nowUs;
                drain(build);
                tellAll();
            } else if (phase == DecisionEngine.Phase.TRIAL
                    && clockUs < nowUs - terms.bakeUs
                    && standing(Verdict.ON) >= terms.voices(terms.onShare)) {
                stageUs.add(nowUs - sinceUs);
                stage++;
                if (stage < terms.shares.length) {
                    begin();
                } else {
                    stage--;
                    phase = DecisionEngine.Phase.RELEASED;
                    sinceUs = nowUs;
                    drain(build - 1);
                    tellAll();
                }
            }
        }
    }
}
