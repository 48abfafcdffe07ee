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
 * All sessions of a relay. Limits their number and decides which of them are drained from their endpoint and when. The
 * {@link DrainQueue} paces the closes of drained sessions, whose clients reconnect.
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
    /** The number of sessions that are being opened or have a side still connected. */
    private int placesInUse;

    private boolean relayShuttingDown;
    /** The time by which all sessions are closed if the relay is shutting down. */
    private long shutdownDeadlineUs;

    private int newestBuild = -1;
    private DecisionEngine.ReleasePhase newestPhase = DecisionEngine.ReleasePhase.RELEASED;

    /**
     * Creates a registry without sessions.
     *
     * @param maxSessions maximum number of concurrent sessions
     * @param opensPerEndpointPerS how many sessions per second each ready endpoint can open
     * @param drainTimeoutUs maximum duration of the drain of an endpoint
     * @param random spreads the closes of a shutdown and the times at which clients reconnect
     */
    public SessionRegistry(int maxSessions, double opensPerEndpointPerS, long drainTimeoutUs, RandomGenerator random) {
        this.maxSessions = maxSessions;
        this.drainTimeoutUs = drainTimeoutUs;
        this.random = random;
        this.drainQueue = new DrainQueue(opensPerEndpointPerS, random);
    }

    /** Returns the number of sessions with at least one side still connected. */
    public int size() {
        return sessionsById.size();
    }

    /** Returns the number of sessions that wait to be closed by a drain. */
    public int drainingCount() {
        return drainQueue.size();
    }

    /** Returns whether another session may be opened. */
    public boolean hasCapacity() {
        return placesInUse < maxSessions && !relayShuttingDown;
    }

    /** Returns whether no session is open, being opened or being closed. */
    public boolean isEmpty() {
        return placesInUse == 0 && sessionsById.isEmpty();
    }

    /** Takes a place for a session that is about to be opened. */
    public void takePlace() {
        placesInUse++;
    }

    /** Gives back a place: the session was not opened, or it has ended and both sides are disconnected. */
    public void releasePlace() {
        placesInUse--;
    }

    /**
     * Registers a session that was opened at an endpoint. If the endpoint or the relay began to drain or the build was
     * rolled back while the session was being opened, the session is drained or closed at once.
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
        } else if (relayShuttingDown) {
            drainQueue.add(session, CloseReason.RELAY_SHUTDOWN, shutdownDeadlineUs);
        }
        return session;
    }

    /**
     * Updates the known endpoints. Sessions at endpoints that are draining, were removed, were restarted or run another
     * build are drained.
     */
    public void updateEndpoints(long nowUs, DecisionEngine.EndpointUpdateType updateType, List<Endpoint> listed) {
        if (updateType == DecisionEngine.EndpointUpdateType.FAILED) {
            return;
        }
        if (updateType != DecisionEngine.EndpointUpdateType.DELTA) {
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
     * Updates the release state of the newest build. When the build is rolled back, its sessions are ended immediately,
     * because no message may be sent to it any more.
     */
    public void updateRelease(long nowUs, int build, DecisionEngine.ReleasePhase phase) {
        newestBuild = build;
        newestPhase = phase;
        if (!isRolledBack(build)) {
            return;
        }
        for (WebSocketSession session : List.copyOf(sessionsById.values())) {
            Endpoint endpoint = endpoints.get(session.endpointName());
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

    /**
     * Begins the shutdown of the relay: no more sessions are requested, and all are closed by the deadline, also those
     * that are being opened and those whose endpoint already drains.
     */
    public void drainAll(long deadlineUs) {
        relayShuttingDown = true;
        shutdownDeadlineUs = deadlineUs;
        drainQueue.limitDeadlines(deadlineUs);
        for (WebSocketSession session : sessionsById.values()) {
            drainQueue.add(session, CloseReason.RELAY_SHUTDOWN, deadlineUs);
        }
    }

    /** Ends a session immediately because its messages may no longer be sent to its endpoint. */
    public void endUnreachable(long nowUs, WebSocketSession session) {
        Endpoint endpoint = endpoints.get(session.endpointName());
        CloseReason reason = endpoint != null && isRolledBack(endpoint.build())
                ? CloseReason.BUILD_ROLLED_BACK
                : CloseReason.ENDPOINT_DRAINING;
        session.end(nowUs, reason, DrainQueue.reconnectDelayMs(random));
    }

    /**
     * Closes the drained sessions whose turn has come and removes the finished sessions. Must be called at least ten
     * times a second.
     */
    public void closeDue(long nowUs) {
        long readyEndpoints = endpoints.values().stream()
                .filter(endpoint -> endpoint.health() == Endpoint.Health.READY)
                .count();
        drainQueue.closeDue(nowUs, readyEndpoints, relayShuttingDown);
        for (WebSocketSession session : new ArrayList<>(sessionsById.values())) {
            if (session.disconnectOverdue(nowUs)) {
                unregister(session);
            }
        }
    }

    private void unregister(WebSocketSession session) {
        sessionsById.remove(session.id());
        drainQueue.remove(session);
        sessionsByEndpoint.computeIfPresent(session.endpointName(), (name, sessions) -> {
            sessions.remove(session);
            return sessions.isEmpty() ? null : sessions;
        });
    }
}
