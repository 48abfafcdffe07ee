package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that one relay uses of all that are listed. Of each service it aims at the first ready ones in
 * its own ranking, some of them in other zones; where these are silent it goes on along the ranking, and back
 * when they have answered again and a settle time is over. Called from one thread with a clock that never
 * goes back.
 */
public final class EndpointSubset {
    /** So many attempts in a row without an answer, and an endpoint is silent: one alone may be the load's. */
    private static final int SILENT_TRIES = 2;
    /**
     * A service grows to so many times what is aimed at, then the longest silent give way: one service that is
     * away would else take all room from others that need to grow.
     */
    private static final int MOST_GROWN = 8;
    /**
     * Of each endpoint, so many relays at least on the mean. Each relay aims at its part of what a cold endpoint bears, and
     * leaves a quarter of it free (rule 4); the endpoint with the most holders has 1 + 3.5 / sqrt(mean) times the mean
     * (docs/measurements/membership.md), which is 4/3 at so many. With fewer than one an endpoint is not used at all.
     */
    public static final int LEAST_HOLDERS = 110;

    private static final long NEVER = Long.MAX_VALUE;

    /**
     * How a relay is to choose.
     *
     * @param relay its own number, or one drawn from its seed where the settings tell none
     * @param zone its own, -1 for unknown: then all endpoints count as in its own
     * @param most endpoints in scope over all services
     * @param perService endpoints aimed at for each service at least
     * @param part of a service's ready endpoints that is aimed at, where that is more: from 0 to 1
     * @param leastElsewhere of these in other zones, where there are any
     * @param settleUs for how long an endpoint must not be needed before it leaves
     */
    public record Terms(
            long relay, int zone, int most, int perService, double part, int leastElsewhere, long settleUs) {

        /** Throws where a bound makes no sense. */
        public Terms {
            if (most < 1 || perService < 1 || !(part >= 0 && part <= 1) || leastElsewhere < 0 || settleUs < 0) {
                throw new IllegalArgumentException("expected at least one unit in scope and a service, a part from"
                        + " 0 to 1, none or more elsewhere and no negative time, got " + most + ", " + perService + ", "
                        + part + ", " + leastElsewhere + ", " + settleUs);
            }
        }

        /** Endpoints aimed at of a service with so many ready ones, where the bound leaves room. */
        public int aim(int ready) {
            return Math.min(most, Math.max(perService, (int) Math.ceil(part * ready)));
        }
    }

    /** What to tell the decisions: all there is, or endpoints that came into scope, changed in it or left it. */
    public record Change(boolean whole, List<EndpointEntry> entries) {}

    private final Terms terms;
    private final RendezvousRanking ranking;
    private EndpointStore store;
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    /** Services whose part in the scope has to be looked at. */
    private final Set<Service> dirty = new LinkedHashSet<>();
    /** What may give way where {@code most} is reached, by class, those that are longest in it first. */
    private final List<Set<Held>> yielding =
            List.of(new LinkedHashSet<>(), new LinkedHashSet<>(), new LinkedHashSet<>());
    /** How many services need so many endpoints. */
    private final int[] needs;
    /** Endpoints each service may have at most; 0: there are more services than endpoints allowed. */
    private int level = Integer.MAX_VALUE;

    private long risesUs = NEVER;
    /** Services without a place, where there are more of them than endpoints allowed. */
    private final TreeSet<Service> waiting = new TreeSet<>();
    /** Services of which first endpoints had to give way, by when they are asked for again. */
    private final Set<Service> returning = new LinkedHashSet<>();

    private int admitted;
    private Map<String, EndpointEntry> told = new LinkedHashMap<>();
    private long changedUs;
    private long index = -1;

    /** Classes of what may give way, in this order. */
    private static final int NOT_NEEDED = 0;

    private static final int DRAINING = 1;
    private static final int SILENT = 2;
    private static final int STAYS = 3;

    /** An endpoint in scope: the decisions were told of it. */
    private static final class Held implements Comparable<Held> {
        private final Service service;
        private final long rank;
        private EndpointEntry entry;
        private boolean own;
        /** Among the first of the ranking, as aimed at. */
        private boolean first;

        private int silent;
        /** Taken up while others are silent, and not heard since. */
        private boolean untried;

        private long leavesUs = NEVER;
        private int yields = STAYS;

        Held(Service service, EndpointEntry entry, long rank) {
            this.service = service;
            this.entry = entry;
            this.rank = rank;
        }

        private boolean ready() {
            return entry.health() == Endpoint.Health.READY;
        }

        private boolean usable() {
            return ready() && silent < SILENT_TRIES;
        }

        @Override
        public int compareTo(Held other) {
            return order(rank, entry.name(), other.rank, other.entry.name());
        }
    }

    private static final class Service implements Comparable<Service> {
        private final String name;
        private final long rank;
        private final List<Held> endpoints = new ArrayList<>();
        private int need;
        private boolean admitted;
        /** The first of the ranking have to be looked for again. */
        private boolean anew = true;
        /** How far the ranking was gone along while endpoints are silent: in the own zone, and elsewhere. */
        private final Candidate[] gone = new Candidate[2];
        /** It was gone along to its end: no more to be found while one endpoint answers. */
        private boolean through;
        /** One of the first gave way while it was silent: such count as silent until they are heard. */
        private boolean doubted;
        /** When the first of the ranking that had to give way are asked for again. */
        private long againUs = NEVER;

        Service(String name, long rank) {
            this.name = name;
            this.rank = rank;
        }

        private boolean growing() {
            return gone[0] != null || gone[1] != null || doubted;
        }

        @Override
        public int compareTo(Service other) {
            return order(rank, name, other.rank, other.name);
        }
    }

    /** A ready endpoint that might come into scope. */
    private record Candidate(int place, long rank, String name, boolean own) {
        private static final Comparator<Candidate> ORDER = (a, b) -> order(a.rank, a.name, b.rank, b.name);
    }

    private static int order(long rank, String name, long otherRank, String otherName) {
        return rank != otherRank ? Long.compare(rank, otherRank) : name.compareTo(otherName);
    }

    public EndpointSubset(Terms terms) {
        this(terms, new RendezvousRanking(terms.relay()));
    }

    /** For tests: with names that can be made to collide. */
    EndpointSubset(Terms terms, RendezvousRanking ranking) {
        this.terms = terms;
        this.ranking = ranking;
        store = new EndpointStore(ranking);
        needs = new int[terms.most() + 1];
    }

    // What is told

    /** Begins a list ({@code whole}) or a change of it; nothing changes until it is taken. */
    public Reading read(boolean whole) {
        return new Reading(whole);
    }

    /** A list or a change on its way in. To drop it instead of taking it changes nothing. */
    public final class Reading {
        private final boolean whole;
        private EndpointStore staged = new EndpointStore(ranking);

        private Reading(boolean whole) {
            this.whole = whole;
        }

        /**
         * One more entry; of a change the last one of an endpoint counts. Throws IllegalArgumentException for a
         * endpoint that stands twice in a whole list and for an entry that is too large; the Reading is of no use
         * then.
         */
        public void add(EndpointEntry e) {
            if (whole && staged.find(e.name()) >= 0) {
                throw new IllegalArgumentException("expected each unit once, found twice " + e.name());
            }
            staged.put(e);
        }

        /**
         * In force from now on, whatever its index: an older one is a discovery that began anew.
         *
         * @param index as the list tells it
         */
        public Change take(long nowUs, long index) {
            EndpointStore its = staged;
            staged = null;
            if (whole) {
                all(its);
            } else {
                its.each(place -> apply(its.entry(place)));
            }
            EndpointSubset.this.index = index;
            changedUs = nowUs;
            settle(nowUs);
            return whole ? change(true, held.values().stream().map(h -> h.entry).toList()) : change();
        }
    }

    /** A whole list takes the place of the one before. */
    private void all(EndpointStore its) {
        List<String> gone = new ArrayList<>();
        its.each(place -> {
            if (its.health(place) == Endpoint.Health.GONE) {
                gone.add(its.endpoint(place));
            }
        });
        gone.forEach(its::remove);
        store = its;
        for (Held h : List.copyOf(held.values())) {
            int place = store.find(h.entry.name());
            EndpointEntry now = place < 0 ? null : store.entry(place);
            if (now == null || !now.service().equals(h.service.name)) {
                drop(h);
            } else {
                update(h, now);
            }
        }
        store.services().forEach(this::service);
        services.values().forEach(s -> {
            s.anew = true;
            touched(s);
        });
    }

    /** One entry of a change. */
    private void apply(EndpointEntry e) {
        int before = store.find(e.name());
        if (before >= 0) {
            touched(service(store.entry(before).service()));
        }
        Held h = held.get(e.name());
        if (h != null && (e.health() == Endpoint.Health.GONE || !e.service().equals(h.service.name))) {
            h.service.anew |= h.first;
            leave(h, e.health() == Endpoint.Health.GONE ? e : h.entry.gone());
            h = null;
        }
        if (e.health() == Endpoint.Health.GONE) {
            store.remove(e.name());
            return;
        }
        int place = store.put(e);
        Service s = service(e.service());
        touched(s);
        if (h != null) {
            if (!h.entry.equals(e)) {
                told.put(e.name(), e);
            }
            s.anew |= h.entry.zone() != e.zone() || h.entry.health() != e.health();
            update(h, e);
        } else if (e.health() == Endpoint.Health.READY) {
            s.anew |= mayBeFirst(s, candidate(place, ranking.place(store.hash(place))));
        }
    }

    private void touched(Service s) {
        s.through = false;
        dirty.add(s);
    }

    private void update(Held h, EndpointEntry now) {
        if (h.entry.startUs() != now.startUs() || h.entry.build() != now.build()) {
            // Another process under the name: nothing is known of it.
            h.silent = 0;
            h.untried = false;
        }
        h.entry = now;
        h.own = own(now.zone());
    }

    /** Whether an endpoint that is not in scope would be among the first; true at times where it is not. */
    private boolean mayBeFirst(Service s, Candidate c) {
        int aim = aim(s);
        int alike = 0;
        int all = 0;
        boolean better = false;
        for (Held h : s.endpoints) {
            if (h.first) {
                all++;
                alike += h.own == c.own ? 1 : 0;
                better |= h.own == c.own && order(c.rank, c.name, h.rank, h.entry.name()) < 0;
            }
        }
        return better || all < aim || alike < (c.own ? aim - elsewhere(aim) : elsewhere(aim));
    }

    /**
     * An attempt at an endpoint in scope, or a connection to it, has ended.
     *
     * @param heard whether the endpoint answered anything at all
     */
    public void ended(long nowUs, String endpoint, boolean heard) {
        Held h = held.get(endpoint);
        if (h != null) {
            boolean usable = h.usable();
            boolean untried = h.untried;
            h.silent = heard ? 0 : Math.min(SILENT_TRIES, h.silent + 1);
            h.untried &= !heard;
            if (h.usable() != usable || h.untried != untried) {
                dirty.add(h.service);
            }
        }
    }

    /**
     * To be called now and then, each 250 ms say: grows where endpoints are silent, shrinks after the settle
     * time.
     */
    public Change due(long nowUs) {
        settle(nowUs);
        return change();
    }

    private Change change() {
        return change(false, told.isEmpty() ? List.of() : List.copyOf(told.values()));
    }

    private Change change(boolean whole, List<EndpointEntry> entries) {
        told = new LinkedHashMap<>();
        return new Change(whole, entries);
    }

    // What can be asked

    /** Endpoints listed. */
    public int listed() {
        return store.size();
    }

    /** Endpoints the decisions were told of: never more than {@code most}. */
    public int inScope() {
        return held.size();
    }

    /** Services with an endpoint listed. */
    public int services() {
        return services.size();
    }

    /**
     * Services that have ready endpoints and no place in scope, since there are more services than {@code most}.
     */
    public int crowdedOut() {
        return waiting.size();
    }

    /** Endpoints aimed at for any service: less than the terms say where {@code most} does not suffice. */
    public int aim() {
        return Math.min(level, terms.aim(0));
    }

    /** When a list or a change was last taken, 0 for never. */
    public long changedUs() {
        return changedUs;
    }

    /** The index of the last list or change, -1 for none. */
    public long index() {
        return index;
    }

    /** Bytes of heap that keep the list, for figures. */
    long bytes() {
        return store.bytes();
    }

    // Who gets how many

    private Service service(String name) {
        return services.computeIfAbsent(name, n -> new Service(n, ranking.place(ranking.hash(n))));
    }

    private int aim(Service s) {
        return level > 0 ? Math.min(level, terms.aim(store.ready(s.name))) : s.admitted ? 1 : 0;
    }

    private int wanted(Service s) {
        return Math.min(aim(s), store.ready(s.name));
    }

    private int elsewhere(int aim) {
        return Math.max(0, Math.min(terms.leastElsewhere(), aim - 1));
    }

    private boolean own(int zone) {
        return terms.zone() < 0 || zone == terms.zone();
    }

    /** Brings the scope to what it should be by now. */
    private void settle(long nowUs) {
        share(nowUs);
        while (!returning.isEmpty() && returning.iterator().next().againUs <= nowUs) {
            Service s = returning.iterator().next();
            again(s, NEVER);
            s.anew = true;
            dirty.add(s);
        }
        List<Service> looked = List.copyOf(dirty);
        dirty.clear();
        // First all that is not needed any more is known, so that there is room for what is.
        Map<Service, List<Candidate>> firsts = new LinkedHashMap<>();
        for (Service s : looked) {
            if (s.anew || s.endpoints.stream().filter(Held::ready).count() < wanted(s)) {
                firsts.put(s, firsts(s));
            }
            weigh(s, nowUs);
        }
        firsts.forEach((s, its) -> {
            its.stream().filter(c -> !held.containsKey(c.name)).forEach(c -> takeUp(s, c, true, false));
            weigh(s, nowUs);
        });
        for (Service s : looked) {
            int missing = weigh(s, nowUs);
            boolean well = s.endpoints.stream().allMatch(h -> !h.first || h.usable());
            if (missing > 0) {
                grow(s, missing, nowUs);
            }
            boolean gaveWay = s.endpoints.stream().filter(h -> h.first).count() < wanted(s);
            if (!gaveWay && s.endpoints.stream().allMatch(h -> !h.first || h.usable() && !h.untried)) {
                // Not before they were heard: only taken up again, they may be silent still.
                Arrays.fill(s.gone, null);
                s.through = false;
                s.doubted = false;
                weigh(s, nowUs);
            }
            again(s, !gaveWay || !well ? NEVER : s.againUs == NEVER ? nowUs + terms.settleUs() : s.againUs);
        }
        Set<Held> leaving = yielding.get(NOT_NEEDED);
        while (!leaving.isEmpty() && leaving.iterator().next().leavesUs <= nowUs) {
            Held h = leaving.iterator().next();
            leave(h, h.entry.gone());
        }
    }

    private void again(Service s, long atUs) {
        if (s.againUs != atUs) {
            returning.remove(s);
            s.againUs = atUs;
            if (atUs != NEVER) {
                returning.add(s);
            }
        }
    }

    /**
     * Counts the endpoints needed and shares out the bound: the same for each service, less where it has less.
     */
    private void share(long nowUs) {
        for (Service s : List.copyOf(dirty)) {
            int ready = Math.min(store.ready(s.name), terms.aim(store.ready(s.name)));
            needs[s.need] -= s.need > 0 ? 1 : 0;
            needs[ready] += ready > 0 ? 1 : 0;
            s.anew |= s.need != ready;
            s.need = ready;
            if (ready == 0 && s.admitted) {
                s.admitted = false;
                admitted--;
            }
            if (store.endpoints(s.name) == 0) {
                store.forget(s.name);
                services.remove(s.name);
                waiting.remove(s);
                again(s, NEVER);
            } else if (ready == 0) {
                waiting.remove(s);
            } else if (level == 0 && !s.admitted) {
                waiting.add(s);
            }
        }
        int possible = possible();
        boolean rises = possible > level;
        risesUs = !rises ? NEVER : risesUs == NEVER ? nowUs + terms.settleUs() : risesUs;
        if (possible < level || rises && nowUs >= risesUs) {
            level = possible;
            risesUs = NEVER;
            waiting.clear();
            admitted = 0;
            for (Service s : services.values()) {
                s.admitted = false;
                s.anew = true;
                dirty.add(s);
                if (level == 0 && s.need > 0) {
                    waiting.add(s);
                }
            }
        }
        while (admitted < terms.most() && !waiting.isEmpty()) {
            Service s = waiting.pollFirst();
            s.admitted = true;
            s.anew = true;
            admitted++;
            dirty.add(s);
        }
    }

    /** How many endpoints each service may have so that all together stay within the bound, if there is one. */
    private int possible() {
        int least = 0;
        int full = 0;
        int needing = 0;
        for (int n : needs) {
            needing += n;
        }
        while (needing > 0) {
            full += needing;
            if (full > terms.most()) {
                return least;
            }
            least++;
            needing -= needs[least];
        }
        return Integer.MAX_VALUE;
    }

    // Which ones

    private Candidate candidate(int place, long rank) {
        return new Candidate(place, rank, store.endpoint(place), own(store.zone(place)));
    }

    /** Looks for the first of the ranking, marks those in scope; returns them. */
    private List<Candidate> firsts(Service s) {
        int aim = aim(s);
        List<List<Candidate>> best = best(s, aim, null);
        List<Candidate> here = best.get(0);
        List<Candidate> there = best.get(1);
        int fromHere = Math.min(here.size(), Math.max(aim - elsewhere(aim), aim - there.size()));
        List<Candidate> firsts = new ArrayList<>(here.subList(0, fromHere));
        firsts.addAll(there.subList(0, Math.min(there.size(), aim - fromHere)));
        s.endpoints.forEach(h -> h.first = false);
        for (Candidate c : firsts) {
            Held h = held.get(c.name);
            if (h != null) {
                h.first = true;
            }
        }
        s.anew = false;
        return firsts;
    }

    /**
     * The first ready endpoints of a service by rank, in the own zone and elsewhere.
     *
     * @param after not in scope and behind these in the ranking, or null for all there are
     */
    private List<List<Candidate>> best(Service s, int most, Candidate[] after) {
        List<PriorityQueue<Candidate>> best = List.of(
                new PriorityQueue<>(Candidate.ORDER.reversed()), new PriorityQueue<>(Candidate.ORDER.reversed()));
        for (int at = most > 0 ? store.first(s.name) : -1; at >= 0; at = store.next(at)) {
            if (store.health(at) != Endpoint.Health.READY) {
                continue;
            }
            int where = own(store.zone(at)) ? 0 : 1;
            PriorityQueue<Candidate> its = best.get(where);
            long rank = ranking.place(store.hash(at));
            if (its.size() == most && rank > its.peek().rank
                    || after != null && after[where] != null && rank < after[where].rank) {
                continue;
            }
            Candidate c = candidate(at, rank);
            if (after != null
                    && (held.containsKey(c.name)
                            || after[where] != null && Candidate.ORDER.compare(c, after[where]) <= 0)) {
                continue;
            }
            its.add(c);
            if (its.size() > most) {
                its.poll();
            }
        }
        return best.stream()
                .map(b -> b.stream().sorted(Candidate.ORDER).toList())
                .toList();
    }

    /**
     * Says of each endpoint of a service whether it stays, leaves or may give way; returns how many are missing.
     */
    private int weigh(Service s, long nowUs) {
        int wanted = wanted(s);
        int room = wanted;
        List<Held> ready = s.endpoints.stream()
                .filter(Held::ready)
                .sorted(Comparator.comparing((Held h) -> !h.usable())
                        .thenComparing(h -> s.growing() && h.untried)
                        .thenComparing(h -> !h.first)
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        int missing = wanted;
        for (Held h : ready) {
            missing -= h.usable() ? 1 : 0;
            boolean stays = room > 0;
            room--;
            // What was taken up while others are silent is not let go before it was tried.
            boolean leaves = !stays && !h.first && !(s.growing() && h.usable() && h.untried);
            h.leavesUs = !leaves ? NEVER : h.leavesUs == NEVER ? nowUs + terms.settleUs() : h.leavesUs;
            yields(h, leaves ? NOT_NEEDED : stays ? STAYS : SILENT);
        }
        for (Held h : s.endpoints) {
            if (!h.ready()) {
                h.first = false;
                h.leavesUs = NEVER;
                yields(h, DRAINING);
            }
        }
        return missing;
    }

    private void yields(Held h, int how) {
        if (h.yields != how) {
            if (h.yields != STAYS) {
                yielding.get(h.yields).remove(h);
            }
            if (how != STAYS) {
                yielding.get(how).add(h);
            }
            h.yields = how;
        }
    }

    /**
     * Goes on along the ranking, each time by as many as were silent so far: a service of which all but few
     * are away is gone through in a few rounds. While an endpoint of the own zone is well it goes on there first.
     */
    private void grow(Service s, int missing, long nowUs) {
        boolean none = s.endpoints.stream().noneMatch(Held::usable);
        if (s.through && !none) {
            return;
        }
        int silent =
                (int) s.endpoints.stream().filter(h -> h.ready() && !h.usable()).count();
        int most = Math.max(1, MOST_GROWN * aim(s));
        int more = Math.min(most / 2, Math.max(missing, silent));
        List<List<Candidate>> best = best(s, more, s.gone);
        int nearer = s.endpoints.stream().anyMatch(h -> h.own && h.usable()) || s.endpoints.isEmpty() ? 0 : 1;
        List<Candidate> next = new ArrayList<>(best.get(nearer));
        next.addAll(best.get(1 - nearer));
        next = next.subList(0, Math.min(more, next.size()));
        if (next.isEmpty()) {
            s.through = true;
            if (none && (s.gone[0] != null || s.gone[1] != null)) {
                // Those that gave way meanwhile may answer again.
                Arrays.fill(s.gone, null);
                dirty.add(s);
            }
        }
        for (Candidate c : next) {
            if (s.endpoints.size() >= most) {
                s.endpoints.stream()
                        .filter(h -> h.yields == NOT_NEEDED)
                        .min(Comparator.comparingLong(h -> h.leavesUs))
                        .ifPresent(h -> leave(h, h.entry.gone()));
            }
            if (takeUp(s, c, false, s.endpoints.stream().noneMatch(Held::usable))) {
                s.gone[c.own ? 0 : 1] = c;
            }
        }
        weigh(s, nowUs);
    }

    // In and out

    /**
     * Tells the decisions of an endpoint if there is room or something gives way.
     *
     * @param inPlace whether a silent endpoint of the same service has to give way if nothing else does
     */
    private boolean takeUp(Service s, Candidate c, boolean first, boolean inPlace) {
        if (held.size() >= terms.most()) {
            Held gives = yielding.stream().flatMap(Set::stream).findFirst().orElse(null);
            if (gives == null && inPlace) {
                gives = s.endpoints.stream()
                        .filter(h -> !h.usable())
                        .findFirst()
                        .orElse(null);
            }
            if (gives == null) {
                return false;
            }
            leave(gives, gives.entry.gone());
            if (gives.first) {
                gives.service.doubted = true;
                dirty.add(gives.service);
            }
        }
        EndpointEntry e = store.entry(c.place);
        Held h = new Held(s, e, c.rank);
        h.own = c.own;
        h.first = first;
        // Else what was found to answer would make room for it, and be lost if it is silent still.
        h.silent = first && s.doubted ? SILENT_TRIES : 0;
        h.untried = !first || s.growing();
        s.endpoints.add(h);
        held.put(e.name(), h);
        told.put(e.name(), e);
        return true;
    }

    /** Takes an endpoint out of scope and tells so. */
    private void leave(Held h, EndpointEntry last) {
        drop(h);
        told.put(last.name(), last);
        if (h.service.endpoints.stream().noneMatch(Held::usable)) {
            // All that were in scope were silent, and gone through to the end: this one may answer again.
            touched(h.service);
        }
    }

    private void drop(Held h) {
        yields(h, STAYS);
        h.service.endpoints.remove(h);
        held.remove(h.entry.name());
    }
}
