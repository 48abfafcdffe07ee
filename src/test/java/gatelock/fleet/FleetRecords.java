package gatelock.fleet;

import gatelock.api.Endpoint;
import gatelock.api.RoutePolicy;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The events that the endpoints, clients, discovery and the release controller of a fleet observed, in chronological
 * order. They contain no internal state of a relay, and {@link RuleChecker} checks the rules on these records alone.
 *
 * <p>The names of the records and of their components are part of {@link #digest}.
 */
final class FleetRecords {
    /** A relay accepted a request, whose client gives up at the deadline. */
    record Request(String id, int relay, RoutePolicy route, long atUs, long deadlineUs) {}

    /** A client received a response. */
    record Response(String id, long atUs, boolean completed) {}

    /** A relay sent an attempt; {@code workUs} is the mean processing time of a request. */
    record Attempt(String id, int relay, String endpoint, int build, double workUs, long atUs) {}

    /** An endpoint started to process a request. */
    record Execution(String id, String endpoint, long atUs) {}

    /** A relay was notified of a status change of an endpoint. */
    record Notice(int relay, String endpoint, long atUs) {}

    /** A relay received the exposure cap of a canary build. */
    record CanaryCap(int relay, int build, double cap, long atUs) {
        private static final int NO_BUILD = -1;

        /** Returns a record for a time at which no build is a canary. */
        static CanaryCap none(int relay, long atUs) {
            return new CanaryCap(relay, NO_BUILD, 1, atUs);
        }

        /** Returns whether no build is a canary. */
        boolean isNone() {
            return build == NO_BUILD;
        }
    }

    /** The process of an endpoint started; {@code concurrency} is the number of requests it processes concurrently. */
    record EndpointStart(String endpoint, double concurrency, long atUs) {}

    /** Discovery learned that an endpoint became ready or stopped being ready. */
    record StatusChange(String endpoint, long atUs) {}

    /**
     * The number of relays that hold an endpoint at the end of the run.
     *
     * @param ready the number of ready endpoints of its service
     * @param holders the number of relays that hold this endpoint
     * @param relays the number of all relays
     * @param aim the number of endpoints of the service that each relay should hold
     */
    record HolderCount(String endpoint, int ready, int holders, int relays, int aim) {}

    /**
     * A message from discovery with a change or the full list, the relays that should receive it and those that did.
     */
    static final class Delivery {
        private final long index;
        private final long sentUs;
        private final long bytes;
        private final BitSet received = new BitSet();
        private final Map<Integer, Long> expectedUsByRelay = new LinkedHashMap<>();

        Delivery(long index, long sentUs, long bytes) {
            this.index = index;
            this.sentUs = sentUs;
            this.bytes = bytes;
        }

        /** Returns the index of the change. */
        long index() {
            return index;
        }

        /** Returns the time at which discovery learned of the change. */
        long sentUs() {
            return sentUs;
        }

        /** Returns the length of the message. */
        long bytes() {
            return bytes;
        }

        /** Records that a relay should receive the message and when its link will have transferred it. */
        void expect(int relay, long atUs) {
            expectedUsByRelay.put(relay, atUs);
        }

        /** Records that a relay received the message. */
        void markReceived(int relay) {
            received.set(relay);
        }

        /** Returns whether a relay received the message. */
        boolean isReceivedBy(int relay) {
            return received.get(relay);
        }

        /** Returns, for each relay that should receive the message, when its link will have transferred it. */
        Map<Integer, Long> expectedUsByRelay() {
            return expectedUsByRelay;
        }

        /** Returns the number of relays that should receive the message. */
        int expectedCount() {
            return expectedUsByRelay.size();
        }
    }

    final List<Request> requests = new ArrayList<>();
    final List<Response> responses = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<Execution> executions = new ArrayList<>();
    /** Notices to relays that an endpoint is draining or gone. */
    final List<Notice> unavailableNotices = new ArrayList<>();
    /** Notices to relays that an endpoint is ready again. */
    final List<Notice> readyNotices = new ArrayList<>();

    final List<CanaryCap> canaryCaps = new ArrayList<>();
    final List<EndpointStart> endpointStarts = new ArrayList<>();
    final List<StatusChange> becameNotReady = new ArrayList<>();
    final List<StatusChange> becameReady = new ArrayList<>();
    final List<Delivery> deliveries = new ArrayList<>();
    final List<HolderCount> holderCounts = new ArrayList<>();
    /** Times at which the release controller received votes. */
    final List<Long> voteTimesUs = new ArrayList<>();
    /** Requests that were in flight when their relay crashed; they need no response. */
    private final Set<String> abandonedRequests = new HashSet<>();
    /** By relay: the endpoints whose last notice to the relay said that they are draining or gone. */
    private final Map<Integer, Set<String>> unavailableByRelay = new HashMap<>();

    int connectionsOpened;
    /** End of the run; a message that is expected later and not received is no violation. */
    long endUs = Long.MAX_VALUE;

    /**
     * Records that a relay received a message. A full list can report endpoints as ready again that the relay knew to
     * be draining or gone.
     */
    void recordReceived(int relay, SimulatedDiscovery.Message message, long atUs) {
        Set<String> unavailable = unavailableByRelay.computeIfAbsent(relay, number -> new HashSet<>());
        if (message.full() && unavailable.isEmpty()) {
            return;
        }
        for (SimulatedDiscovery.Entry entry : message.entries()) {
            String endpoint = entry.name();
            boolean ready = entry.endpoint().health() == Endpoint.Health.READY;
            boolean changed = ready ? unavailable.remove(endpoint) : unavailable.add(endpoint);
            if (changed) {
                (ready ? readyNotices : unavailableNotices).add(new Notice(relay, endpoint, atUs));
            }
        }
    }

    /** Adds a message that discovery sends to relays. */
    Delivery addDelivery(long index, long sentUs, long bytes) {
        Delivery delivery = new Delivery(index, sentUs, bytes);
        deliveries.add(delivery);
        return delivery;
    }

    /** Records that the process of a relay ended; messages that it has not received are no longer expected. */
    void recordRelayStopped(int relay) {
        deliveries.stream()
                .filter(delivery -> !delivery.isReceivedBy(relay))
                .forEach(delivery -> delivery.expectedUsByRelay.remove(relay));
    }

    /** Records that the relay of a request crashed while the request was in flight. */
    void markAbandoned(String request) {
        abandonedRequests.add(request);
    }

    /** Returns whether the relay of a request crashed while the request was in flight. */
    boolean isAbandoned(String request) {
        return abandonedRequests.contains(request);
    }

    // ---- Statistics ----------------------------------------------------------------------------------------

    /** Returns the sorted delays of all messages to each relay, including messages still in transit. */
    long[] deliveryDelaysUs() {
        return deliveries.stream()
                .flatMapToLong(delivery ->
                        delivery.expectedUsByRelay.values().stream().mapToLong(atUs -> atUs - delivery.sentUs))
                .sorted()
                .toArray();
    }

    /** Returns the number of messages that are still in transit at the end of the run. */
    long undelivered() {
        return deliveries.stream()
                .flatMap(delivery -> delivery.expectedUsByRelay.values().stream())
                .filter(atUs -> atUs > endUs)
                .count();
    }

    /** Returns the number of requests whose response says that they were not completed. */
    long rejectedRequests() {
        return responses.stream().filter(response -> !response.completed()).count();
    }

    /**
     * Returns the share of requests accepted in a period that completed within the latency objective of their route.
     */
    double shareWithinObjective(long fromUs, long toUs) {
        Map<String, Response> responseById = new HashMap<>();
        responses.forEach(response -> responseById.put(response.id, response));
        int accepted = 0;
        int withinObjective = 0;
        for (Request request : requests) {
            if (request.atUs >= fromUs && request.atUs < toUs) {
                accepted++;
                withinObjective += isWithinObjective(request, responseById.get(request.id)) ? 1 : 0;
            }
        }
        return withinObjective / (double) Math.max(1, accepted);
    }

    private static boolean isWithinObjective(Request request, Response response) {
        return response != null
                && response.completed
                && response.atUs - request.atUs <= request.route.latencyObjectiveUs();
    }

    /** Returns a digest of the recorded events, in order; the same seed always produces the same digest. */
    String digest() {
        MessageDigest sha = sha256();
        for (List<?> records : List.of(
                requests,
                attempts,
                executions,
                responses,
                unavailableNotices,
                readyNotices,
                canaryCaps,
                endpointStarts,
                holderCounts)) {
            records.forEach(each -> update(sha, each.toString()));
        }
        for (Delivery delivery : deliveries) {
            update(
                    sha,
                    delivery.index + " " + delivery.sentUs + " " + delivery.bytes + delivery.expectedUsByRelay
                            + delivery.received);
        }
        return HexFormat.of().formatHex(sha.digest(), 0, 8);
    }

    private static void update(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
