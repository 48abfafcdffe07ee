package gatelock.session;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * All sessions of a relay: how many there may be, and which must leave their endpoint and when. Closes that
 * clients come back
 * from are paced: so many a second as the endpoints that stay can open, so that those who come back flood nobody.
 */
public final class Sessions {
    /** So many opens a second each ready endpoint is taken to bear, when nothing else is said. */
    private final double opensPerEndpoint;

    private final long drainUs;
    private final int most;
    private final RandomGenerator chance;
    private final Map<Integer, Session> all = new LinkedHashMap<>();
    private final Map<String, Set<Session>> byEndpoint = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Those that must leave, in turn, each with its cause and the time by which it goes at the latest. */
    private final ArrayDeque<Leaving> leaving = new ArrayDeque<>();

    private final Map<Session, Leaving> due = new HashMap<>();
    private double budget;
    private long budgetUs;
    private int nextPlace;
    private boolean relayLeaves;
    private int newest = -1;
    private DecisionEngine.Phase phase = DecisionEngine.Phase.RELEASED;

    private record Leaving(Session session, CloseReason cause, long byUs) {}

    /**
     * @param most sessions at a time
     * @param opensPerEndpoint opens a second that each ready endpoint bears
     * @param drainUs how long a drain may take at the most
     */
    public Sessions(int most, double opensPerEndpoint, long drainUs, RandomGenerator chance) {
        this.most = most;
        this.opensPerEndpoint = opensPerEndpoint;
        this.drainUs = drainUs;
        this.chance = chance;
    }

    public int size() {
        return all.size();
    }

    public int mustLeave() {
        return due.size();
    }

    /** Whether one more may be opened at all. */
    public boolean room() {
        return all.size() < most && !relayLeaves;
    }

    /** One is open at an endpoint. */
    public Session opened(long nowUs, String endpoint, int route, Session.Wires wires) {
        Session session = new Session(nextPlace++, endpoint, route, wires);
        all.put(session.place(), session);
        byEndpoint.computeIfAbsent(endpoint, u -> new LinkedHashSet<>()).add(session);
        Endpoint at = endpoints.get(endpoint);
        if (at == null || at.health() != Endpoint.Health.READY) {
            // It was asked for before the endpoint was known to leave.
            leaves(session, CloseReason.DRAIN, nowUs + drainUs);
        } else if (takenBack(at.build())) {
            session.end(nowUs, CloseReason.TRIAL_BACK, back());
        }
        return session;
    }

    /**
     * The list of endpoints, or a part of it: sessions at endpoints that drain, are gone or came back as others must
     * leave.
     */
    public void listed(long nowUs, DecisionEngine.ListForm form, List<Endpoint> entries) {
        if (form == DecisionEngine.ListForm.FAILED) {
            return;
        }
        if (form != DecisionEngine.ListForm.DELTA) {
            Set<String> named = new LinkedHashSet<>();
            entries.forEach(l -> named.add(l.endpoint()));
            List.copyOf(endpoints.keySet()).stream()
                    .filter(u -> !named.contains(u))
                    .forEach(u -> {
                        endpoints.remove(u);
                        allLeave(nowUs, u);
                    });
        }
        for (Endpoint l : entries) {
            Endpoint was = l.health() == Endpoint.Health.GONE
                    ? endpoints.remove(l.endpoint())
                    : endpoints.put(l.endpoint(), l);
            boolean other = was != null && (was.startUs() != l.startUs() || was.build() != l.build());
            if (l.health() != Endpoint.Health.READY || other) {
                allLeave(nowUs, l.endpoint());
            }
        }
    }

    private void allLeave(long nowUs, String endpoint) {
        byEndpoint.getOrDefault(endpoint, Set.of()).forEach(s -> leaves(s, CloseReason.DRAIN, nowUs + drainUs));
    }

    private void leaves(Session session, CloseReason cause, long byUs) {
        if (session.open() && !due.containsKey(session)) {
            Leaving leaves = new Leaving(session, cause, byUs);
            leaving.add(leaves);
            due.put(session, leaves);
        }
    }

    /**
     * News of the newest build: once it goes back, its sessions end at once, as nothing may go there any
     * more.
     */
    public void news(long nowUs, int build, DecisionEngine.Phase now) {
        newest = build;
        phase = now;
        if (now == DecisionEngine.Phase.REVERTING || now == DecisionEngine.Phase.WITHDRAWN) {
            for (Session s : List.copyOf(all.values())) {
                Endpoint at = endpoints.get(s.endpoint());
                if (at != null && takenBack(at.build())) {
                    s.end(nowUs, CloseReason.TRIAL_BACK, back());
                }
            }
        }
    }

    private boolean takenBack(int build) {
        return build == newest && (phase == DecisionEngine.Phase.REVERTING || phase == DecisionEngine.Phase.WITHDRAWN);
    }

    /** The relay leaves: all must go by then. */
    public void leave(long nowUs, long byUs) {
        relayLeaves = true;
        all.values().forEach(s -> leaves(s, CloseReason.LEAVING, byUs));
    }

    /** A message can't go to its endpoint any more, as that leaves: the session goes before its turn. */
    public void unreachable(long nowUs, Session session) {
        Endpoint at = endpoints.get(session.endpoint());
        session.end(nowUs, at != null && takenBack(at.build()) ? CloseReason.TRIAL_BACK : CloseReason.DRAIN, back());
    }

    /**
     * Ends those whose turn has come, and forgets those that are over; to be called some ten times a second.
     * When a relay
     * leaves, the rest goes evenly until the time is up, since its clients go to other relays.
     */
    public void due(long nowUs) {
        long ready = endpoints.values().stream()
                .filter(l -> l.health() == Endpoint.Health.READY)
                .count();
        double perUs = Math.max(1, ready) * opensPerEndpoint / 1e6;
        budget = Math.min(Math.max(1, perUs * 100_000), budget + Math.max(0, nowUs - budgetUs) * perUs);
        budgetUs = nowUs;
        while (!leaving.isEmpty()) {
            Leaving next = leaving.peek();
            // Evenly over what time is left, where the pace alone would not be done by then.
            boolean pressed = leaving.size() > (next.byUs - nowUs) * perUs;
            boolean lastCall = nowUs >= next.byUs
                    || pressed && relayLeaves && chance.nextDouble() < 100_000.0 / Math.max(100_000, next.byUs - nowUs);
            if (next.session.open() && budget < 1 && !lastCall) {
                break;
            }
            leaving.remove();
            due.remove(next.session);
            if (next.session.open()) {
                budget = Math.max(0, budget - 1);
                next.session.end(nowUs, next.cause, back());
            }
        }
        for (Session s : new ArrayList<>(all.values())) {
            if (s.due(nowUs)) {
                forget(s);
            }
        }
    }

    private void forget(Session s) {
        all.remove(s.place());
        due.remove(s);
        byEndpoint.computeIfPresent(s.endpoint(), (u, some) -> {
            some.remove(s);
            return some.isEmpty() ? null : some;
        });
    }

    /** When a client may come back: spread, so that those told together do not come together. */
    private long back() {
        return 50 + chance.nextLong(950);
    }
}
