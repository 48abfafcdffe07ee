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
 * What endpoints, clients, discovery and the release controller of a fleet saw, in the order in which it happened. No
 * record holds what a relay meant to do; the rules are checked from these records alone ({@link RuleChecker}).
 */
final class FleetRecords {
    /** A request that a relay accepted; its client gives up at the deadline. */
    record Request(String id, int relay, RoutePolicy route, long atUs, long deadlineUs) {}

    /** An answer that a client got. */
    record Response(String id, long atUs, boolean completed) {}

    /** An attempt that a relay sent; {@code workUs}: the mean work of a request. */
    record Attempt(String id, int relay, String endpoint, int build, double workUs, long atUs) {}

    /** An endpoint began to process a request. */
    record Execution(String id, String endpoint, long atUs) {}

    /** A relay received notice of an endpoint. */
    record Notice(int relay, String endpoint, long atUs) {}

    /** A relay received the cap on traffic to a canary build. */
    record CanaryCap(int relay, int build, double cap, long atUs) {
        private static final int NO_BUILD = -1;

        /** No build is a canary. */
        static CanaryCap none(int relay, long atUs) {
            return new CanaryCap(relay, NO_BUILD, 1, atUs);
        }

        boolean isNone() {
            return build == NO_BUILD;
        }
    }

    /** The process of an endpoint started; {@code concurrency}: how many requests it processes at once. */
    record EndpointStart(String endpoint, double concurrency, long atUs) {}

    /** Discovery learned that an endpoint is ready, or that it is not. */
    record StatusChange(String endpoint, long atUs) {}

    /**
     * How many relays hold an endpoint at the end.
     *
     * @param ready ready endpoints of its service
     * @param holders relays that hold this one
     * @param relays all relays
     * @param aim endpoints of the service that a relay aims to hold
     */
    record HolderCount(String endpoint, int ready, int holders, int relays, int aim) {}

    /** A message of discovery with a change or the whole list: the relays that are to receive it, and those that did. */
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

        /** The index of the change. */
        long index() {
            return index;
        }

        /** When discovery knew of the change. */
        long sentUs() {
            return sentUs;
        }

        long bytes() {
            return bytes;
        }

        /** A relay is to receive the message; its link has carried it by then. */
        void expect(int relay, long atUs) {
            expectedUsByRelay.put(relay, atUs);
        }

        void markReceived(int relay) {
            received.set(relay);
        }

        boolean isReceivedBy(int relay) {
            return received.get(relay);
        }

        /** By relay: when its link has carried the message. */
        Map<Integer, Long> expectedUsByRelay() {
            return expectedUsByRelay;
        }

        /** How many relays are to receive it. */
        int expectedCount() {
            return expectedUsByRelay.size();
        }
    }

    final List<Request> requests = new ArrayList<>();
    final List<Response> responses = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<Execution> executions = new ArrayList<>();
    /** Relays received notice that an endpoint is draining or gone. */
    final List<Notice> departures = new ArrayList<>();
    /** Relays received notice that an endpoint is ready again. */
    final List<Notice> returns = new ArrayList<>();

    final List<CanaryCap> canaryCaps = new ArrayList<>();
    final List<EndpointStart> endpointStarts = new ArrayList<>();
    final List<StatusChange> becameNotReady = new ArrayList<>();
    final List<StatusChange> becameReady = new ArrayList<>();
    final List<Delivery> deliveries = new ArrayList<>();
    final List<HolderCount> holderCounts = new ArrayList<>();
    /** When votes came to the release controller. */
    final List<Long> voteTimesUs = new ArrayList<>();
    /** Requests whose relay was killed while they were in flight: they need not be answered. */
    private final Set<String> abandoned = new HashSet<>();
    /** By relay: the endpoints that it has notice of leaving, and not of being back. */
    private final Map<Integer, Set<String>> departedByRelay = new HashMap<>();

    int connectionsOpened;
    /** When the run ended; what was expected later is no violation. */
    long endUs = Long.MAX_VALUE;

    /** A relay received a message; a whole list brings back the endpoints that the relay knew to be leaving. */
    void received(int relay, SimulatedDiscovery.Message message, long atUs) {
        Set<String> departed = departedByRelay.computeIfAbsent(relay, number -> new HashSet<>());
        if (message.whole() && departed.isEmpty()) {
            return;
        }
        for (SimulatedDiscovery.Entry entry : message.entries()) {
            String endpoint = entry.name();
            boolean ready = entry.endpoint().health() == Endpoint.Health.READY;
            boolean changed = ready ? departed.remove(endpoint) : departed.add(endpoint);
            if (changed) {
                (ready ? returns : departures).add(new Notice(relay, endpoint, atUs));
            }
        }
    }

    Delivery addDelivery(long index, long sentUs, long bytes) {
        Delivery delivery = new Delivery(index, sentUs, bytes);
        deliveries.add(delivery);
        return delivery;
    }

    /** A relay's process has ended: what it had not received by then is not expected any more. */
    void relayEnded(int relay) {
        deliveries.stream()
                .filter(delivery -> !delivery.isReceivedBy(relay))
                .forEach(delivery -> delivery.expectedUsByRelay.remove(relay));
    }

    /** The relay of a request was killed. */
    void abandoned(String request) {
        abandoned.add(request);
    }

    boolean isAbandoned(String request) {
        return abandoned.contains(request);
    }

    // ---- Figures -------------------------------------------------------------------------------------------

    /** How long each message took to each relay, sorted; also those that a link still carries. */
    long[] deliveryDelaysUs() {
        return deliveries.stream()
                .flatMapToLong(delivery ->
                        delivery.expectedUsByRelay.values().stream().mapToLong(atUs -> atUs - delivery.sentUs))
                .sorted()
                .toArray();
    }

    /** How many messages links still carry at the end. */
    long undelivered() {
        return deliveries.stream()
                .flatMap(delivery -> delivery.expectedUsByRelay.values().stream())
                .filter(atUs -> atUs > endUs)
                .count();
    }

    /** How many requests were answered without being completed. */
    long rejectedRequests() {
        return responses.stream().filter(response -> !response.completed()).count();
    }

    /** The share of requests accepted in a span that were completed within their route's latency objective. */
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

    /** A digest of all that was recorded, in order: one seed gives one digest. */
    String digest() {
        MessageDigest sha = sha256();
        for (List<?> records : List.of(
                requests,
                attempts,
                executions,
                responses,
                departures,
                returns,
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
