package gatelock.session;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * All sessions of a relay: how many there may be, and which of them must leave their endpoint and when. Closes after
 * which clients reconnect are paced by {@link DrainQueue}.
 */
public final class SessionRegistry {
    private final long drainTimeoutUs;
    private final int maxSessions;
    private final RandomGenerator random;
    private final DrainQueue drainQueue;
    private final Map<Integer, WebSocketSession> sessionsById = new LinkedHashMap<>();
    private final Map<String, Set<WebSocketSession>> sessionsByEndpoint = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private int nextId;
    private boolean relayShutsDown;
    private int newestBuild = -1;
    private DecisionEngine.ReleasePhase newestPhase = DecisionEngine.ReleasePhase.RELEASED;

    /**
     * Creates a registry without sessions.
     *
     * @param maxSessions open sessions at a time
     * @param opensPerEndpointPerS opens a second that each ready endpoint can bear
     * @param drainTimeoutUs how long the drain of an endpoint may take at the most
     * @param random spreads the closes of a shutdown and the times at which clients reconnect
     */
    public SessionRegistry(int maxSessions, double opensPerEndpointPerS, long drainTimeoutUs, RandomGenerator random) {
        this.maxSessions = maxSessions;
        this.drainTimeoutUs = drainTimeoutUs;
        this.random = random;
        this.drainQueue = new DrainQueue(opensPerEndpointPerS, random);
    }

    /** Returns the number of sessions of which a side is still connected. */
    public int size() {
        return sessionsById.size();
    }

    /** Returns the number of sessions that wait for their turn to be closed. */
    public int drainingCount() {
        return drainQueue.size();
    }

    /** Returns whether one more session may be opened. */
    public boolean hasCapacity() {
        return sessionsById.size() < maxSessions && !relayShutsDown;
    }

    /**
     * Registers a session that was opened at an endpoint. If the endpoint began to drain or its build was rolled back
     * while the session was being opened, the session is drained or closed at once.
     */
    public WebSocketSession register(long nowUs, String endpointName, int route, SessionTransport transport) {
        WebSocketSession session = new WebSocketSession(nextId++, endpointName, route, transport);
        sessionsById.put(session.id(), session);
        sessionsByEndpoint
                .computeIfAbsent(endpointName, name -> new LinkedHashSet<>())
                .add(session);
        Endpoint endpoint = endpoints.get(endpointName);
        if (endpoint == null || endpoint.health() != Endpoint.Health.READY) {
            drainQueue.add(session, CloseReason.ENDPOINT_DRAINING, nowUs + drainTimeoutUs);
        } else if (isRolledBack(endpoint.build())) {
            session.end(nowUs, CloseReason.BUILD_ROLLED_BACK, DrainQueue.reconnectDelayMs(random));
        }
        return session;
    }

    /**
     * Takes in the endpoint list or a change of it. Sessions at endpoints that drain, are gone or came back as another
     * incarnation or build are drained.
     */
    public void updateEndpoints(long nowUs, DecisionEngine.EndpointUpdateType form, List<Endpoint> listed) {
        if (form == DecisionEngine.EndpointUpdateType.FAILED) {
            return;
        }
        if (form != DecisionEngine.EndpointUpdateType.DELTA) {
            removeUnlisted(nowUs, listed);
        }
        for (Endpoint endpoint : listed) {
            Endpoint previous = endpoint.health() == Endpoint.Health.GONE
                    ? endpoints.remove(endpoint.name())
                    : endpoints.put(endpoint.name(), endpoint);
            boolean replaced = previous != null
                    && (previous.startedAtUs() != endpoint.startedAtUs() || previous.build() != endpoint.build());
            if (endpoint.health() != Endpoint.Health.READY || replaced) {
                drainEndpoint(nowUs, endpoint.name());
            }
        }
    }

    private void removeUnlisted(long nowUs, List<Endpoint> listed) {
        Set<String> listedNames = new LinkedHashSet<>();
        for (Endpoint endpoint : listed) {
            listedNames.add(endpoint.name());
        }
        for (String name : List.copyOf(endpoints.keySet())) {
            if (!listedNames.contains(name)) {
                endpoints.remove(name);
                drainEndpoint(nowUs, name);
            }
        }
    }

    private void drainEndpoint(long nowUs, String endpointName) {
        for (WebSocketSession session : sessionsByEndpoint.getOrDefault(endpointName, Set.of())) {
            drainQueue.add(session, CloseReason.ENDPOINT_DRAINING, nowUs + drainTimeoutUs);
        }
    }

    /**
     * Takes in the release state of the newest build. Once it is rolled back its sessions end at once, as no message
     * may go to it any more.
     */
    public void updateRelease(long nowUs, int build, DecisionEngine.ReleasePhase phase) {
        newestBuild = build;
        newestPhase = phase;
        if (!isRolledBack(build)) {
            return;
        }
        for (WebSocketSession session : List.copyOf(sessionsById.values())) {
            Endpoint endpoint = endpoints.get(session.endpoint());
            if (endpoint != null && isRolledBack(endpoint.build())) {
                session.end(nowUs, CloseReason.BUILD_ROLLED_BACK, DrainQueue.reconnectDelayMs(random));
            }
        }
    }

    private boolean isRolledBack(int build) {
        return build == newestBuild
                && (newestPhase == DecisionEngine.ReleasePhase.REVERTING
                        || newestPhase == DecisionEngine.ReleasePhase.WITHDRAWN);
    }

    /** Begins the shutdown of the relay: no session is opened any more, and all end by the deadline. */
    public void drainAll(long nowUs, long deadlineUs) {
        relayShutsDown = true;
        for (WebSocketSession session : sessionsById.values()) {
            drainQueue.add(session, CloseReason.RELAY_SHUTDOWN, deadlineUs);
        }
    }

    /** Ends a session at once because a message of it may not go to its endpoint any more. */
    public void endUnreachable(long nowUs, WebSocketSession session) {
        Endpoint endpoint = endpoints.get(session.endpoint());
        CloseReason reason = endpoint != null && isRolledBack(endpoint.build())
                ? CloseReason.BUILD_ROLLED_BACK
                : CloseReason.ENDPOINT_DRAINING;
        session.end(nowUs, reason, DrainQueue.reconnectDelayMs(random));
    }

    /** Closes the sessions whose turn has come and forgets those that are finished; to be called ten times a second or more. */
    public void closeDue(long nowUs) {
        long readyEndpoints = endpoints.values().stream()
                .filter(endpoint -> endpoint.health() == Endpoint.Health.READY)
                .count();
        drainQueue.closeDue(nowUs, readyEndpoints, relayShutsDown);
        for (WebSocketSession session : new ArrayList<>(sessionsById.values())) {
            if (session.disconnectOverdue(nowUs)) {
                forget(session);
            }
        }
    }

    private void forget(WebSocketSession session) {
        sessionsById.remove(session.id());
        drainQueue.remove(session);
        sessionsByEndpoint.computeIfPresent(session.endpoint(), (name, sessions) -> {
            sessions.remove(session);
            return sessions.isEmpty() ? null : sessions;
        });
    }
}
