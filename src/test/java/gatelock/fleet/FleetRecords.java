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
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What endpoints, clients, the list and the release controller saw, and the five rules checked from that alone: nothing here
 * asks a relay what it meant.
 */
final class FleetRecords {
    record Taken(String id, int relay, RoutePolicy route, long atUs, long endUs) {}

    record Answer(String id, long atUs, boolean completed) {}

    record Sent(String id, int relay, String endpoint, int build, double workUs, long atUs) {}

    record Ran(String id, String endpoint, long atUs) {}

    record Told(int relay, String endpoint, long atUs) {}

    record Cap(int relay, int build, double cap, long atUs) {}

    record Start(String endpoint, double cores, long atUs) {}

    /** Since when discovery could tell of an endpoint that it is ready, or that it is not. */
    record Known(String endpoint, long atUs) {}

    /** Of an endpoint's service: how many of its endpoints are ready, how many of the relays hold this one. */
    record Held(String endpoint, int ready, int holders, int relays, int most) {}

    /** A change of the list or the whole of it: since when it could be told, who is owed it and who heard it. */
    static final class Message {
        final long index;
        final long atUs;
        final long bytes;
        final BitSet heard = new BitSet();
        /** By relay: when its link has carried it. */
        private final Map<Integer, Long> dueUs = new LinkedHashMap<>();

        Message(long index, long atUs, long bytes) {
            this.index = index;
            this.atUs = atUs;
            this.bytes = bytes;
        }

        void owed(int relay, long atUs) {
            dueUs.put(relay, atUs);
        }

        void heard(int relay) {
            heard.set(relay);
        }

        /** To how many relays it was to go. */
        int owed() {
            return dueUs.size();
        }
    }

    private static final long SLACK_US = 50_000;
    private static final long GRACE_US = 1_000_000;

    final List<Taken> taken = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Ran> ran = new ArrayList<>();
    final List<Told> leaves = new ArrayList<>();
    final List<Cap> caps = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    /** Relays heard that an endpoint is ready, again or for the first time. */
    final List<Told> backs = new ArrayList<>();

    final List<Known> downs = new ArrayList<>();
    final List<Known> ups = new ArrayList<>();
    final List<Message> messages = new ArrayList<>();
    final List<Held> held = new ArrayList<>();
    final List<Long> calls = new ArrayList<>();
    /** Requests whose relay was ended under them: they are owed nothing. */
    final Map<String, Long> ended = new HashMap<>();
    /** By relay: the endpoints that it has heard to be leaving, and not to be back. */
    private final Map<Integer, Set<String>> gone = new HashMap<>();

    int opened;
    /** When the play ended; what was due later is no fault. */
    long endUs = Long.MAX_VALUE;

    /** Every rule that these records break, one line for each case. */
    List<String> broken(SimulatedFleet.Terms terms) {
        List<String> found = new ArrayList<>();
        oneAnswer(found);
        noEffectTwice(found);
        nothingToLeaving(found);
        coldEndpoints(found, terms);
        exposure(found, terms);
        heardByAll(found);
        toldLate(found, terms);
        heldByMany(found);
        return found;
    }

    /** A relay hears an answer of discovery; a whole list brings back what it had heard to be leaving. */
    void told(int relay, SimulatedDiscovery.Message message, long atUs) {
        Set<String> its = gone.computeIfAbsent(relay, r -> new HashSet<>());
        if (message.whole() && its.isEmpty()) {
            return;
        }
        for (SimulatedDiscovery.Entry e : message.entries()) {
            boolean ready = e.listed().health() == Endpoint.Health.READY;
            boolean news = ready
                    ? its.remove(e.listed().endpoint())
                    : its.add(e.listed().endpoint());
            if (news) {
                (ready ? backs : leaves).add(new Told(relay, e.listed().endpoint(), atUs));
            }
        }
    }

    Message message(long index, long atUs, long bytes) {
        Message message = new Message(index, atUs, bytes);
        messages.add(message);
        return message;
    }

    /** The relay has ended: what it had not heard by then is owed to it no more. */
    void heardNoMore(int relay) {
        messages.stream().filter(m -> !m.heard.get(relay)).forEach(m -> m.dueUs.remove(relay));
    }

    /** Each change comes to each relay that it is owed to, unless its link still carries it. */
    private void heardByAll(List<String> found) {
        for (Message m : messages) {
            m.dueUs.forEach((relay, dueUs) -> {
                if (dueUs <= endUs && !m.heard.get(relay)) {
                    found.add("change " + m.index + ": relay " + relay + " never had it");
                }
            });
        }
    }

    /** How long after it could be told each relay has each change, in order; also what is still on a link. */
    long[] reachedUs() {
        return messages.stream()
                .flatMapToLong(m -> m.dueUs.values().stream().mapToLong(us -> us - m.atUs))
                .sorted()
                .toArray();
    }

    /** What links still carry at the end. */
    long onTheWay() {
        return messages.stream()
                .flatMap(m -> m.dueUs.values().stream())
                .filter(us -> us > endUs)
                .count();
    }

    /**
     * Rule 3 by discovery's own clock: once a relay should have been told that an endpoint leaves, and after the same
     * grace, nothing goes there, whatever the relay itself heard.
     */
    private void toldLate(List<String> found, SimulatedFleet.Terms terms) {
        if (terms.linkBytesPerS == 0) {
            return;
        }
        Map<String, TreeMap<Long, Boolean>> known = new HashMap<>();
        downs.forEach(
                k -> known.computeIfAbsent(k.endpoint, u -> new TreeMap<>()).put(k.atUs, false));
        ups.forEach(k -> known.computeIfAbsent(k.endpoint, u -> new TreeMap<>()).put(k.atUs, true));
        Set<String> named = new HashSet<>();
        for (Sent s : sent) {
            TreeMap<Long, Boolean> its = known.get(s.endpoint);
            Map.Entry<Long, Boolean> now = its == null ? null : its.floorEntry(s.atUs);
            if (now != null && !now.getValue()) {
                long sinceUs = now.getKey();
                for (Map.Entry<Long, Boolean> e = its.lowerEntry(sinceUs);
                        e != null && !e.getValue();
                        e = its.lowerEntry(sinceUs)) {
                    sinceUs = e.getKey();
                }
                if (s.atUs > sinceUs + terms.toldWithinUs + GRACE_US + SLACK_US
                        && named.add(s.relay + " " + s.endpoint)) {
                    found.add("told late: relay " + s.relay + " sent to " + s.endpoint + " " + (s.atUs - sinceUs) / 1000
                            + " ms after it left");
                }
            }
        }
    }

    /** Where a service has more endpoints than a relay is to hold, none of them is held by all or most relays. */
    private void heldByMany(List<String> found) {
        for (Held h : held) {
            if (h.holders > mostHolders(h.ready, h.relays, h.most)) {
                found.add("held: " + h.endpoint + " by " + h.holders + " of " + h.relays + " relays");
            }
        }
    }

    /** Twice an even share and a little, as relays prefer their own zones; never all where half would do. */
    static int mostHolders(int ready, int relays, int most) {
        if (ready < 2 * most) {
            return relays;
        }
        double share = relays * (double) most / ready;
        return (int) Math.min(relays - 1, Math.ceil(2 * share + 3 * Math.sqrt(share)));
    }

    private void oneAnswer(List<String> found) {
        Map<String, List<Answer>> byId = new HashMap<>();
        answers.forEach(a -> byId.computeIfAbsent(a.id, i -> new ArrayList<>()).add(a));
        for (Taken t : taken) {
            List<Answer> its = byId.getOrDefault(t.id, List.of());
            if (its.size() > 1) {
                found.add("rule 1: " + t.id + " has " + its.size() + " answers");
            } else if (!ended.containsKey(t.id) && (its.isEmpty() || its.get(0).atUs > t.endUs + SLACK_US)) {
                found.add("rule 1: " + t.id + " has no answer in time");
            }
        }
    }

    private void noEffectTwice(List<String> found) {
        Map<String, RoutePolicy> routes = new HashMap<>();
        taken.forEach(t -> routes.put(t.id, t.route));
        Map<String, Integer> times = new HashMap<>();
        ran.forEach(r -> times.merge(r.id, 1, Integer::sum));
        times.forEach((id, n) -> {
            if (n > 1 && routes.get(id).repeat() == RoutePolicy.Repeat.NON_RETRIABLE) {
                found.add("rule 2: " + id + " ran " + n + " times");
            }
        });
    }

    private void nothingToLeaving(List<String> found) {
        // By relay and endpoint: when it was told that the endpoint left, or came back.
        Map<Integer, Map<String, TreeMap<Long, Boolean>>> told = new HashMap<>();
        leaves.forEach(l -> of(told, l).putIfAbsent(l.atUs, true));
        backs.forEach(b -> of(told, b).put(b.atUs, false));
        for (Sent s : sent) {
            TreeMap<Long, Boolean> its = told.getOrDefault(s.relay, Map.of()).get(s.endpoint);
            Map.Entry<Long, Boolean> last = its == null ? null : its.floorEntry(s.atUs);
            if (last != null && last.getValue()) {
                long sinceUs = last.getKey();
                for (Map.Entry<Long, Boolean> e = its.lowerEntry(sinceUs);
                        e != null && e.getValue();
                        e = its.lowerEntry(sinceUs)) {
                    sinceUs = e.getKey();
                }
                if (s.atUs > sinceUs + GRACE_US + SLACK_US) {
                    found.add("rule 3: " + s.id + " went to " + s.endpoint + " after it left");
                }
            }
        }
    }

    private static TreeMap<Long, Boolean> of(Map<Integer, Map<String, TreeMap<Long, Boolean>>> told, Told one) {
        return told.computeIfAbsent(one.relay, r -> new HashMap<>())
                .computeIfAbsent(one.endpoint, u -> new TreeMap<>());
    }

    /** In every window that begins with a send, the work sent to a cold endpoint stays under its multiple. */
    private void coldEndpoints(List<String> found, SimulatedFleet.Terms terms) {
        Map<String, List<Sent>> byEndpoint = new HashMap<>();
        sent.forEach(s ->
                byEndpoint.computeIfAbsent(s.endpoint, u -> new ArrayList<>()).add(s));
        for (Start start : starts) {
            List<Sent> its = byEndpoint.getOrDefault(start.endpoint, List.of()).stream()
                    .filter(s -> s.atUs >= start.atUs && s.atUs < start.atUs + terms.warmUs)
                    .toList();
            for (int i = 0; i < its.size(); i++) {
                double workUs = 0;
                for (int j = i; j < its.size() && its.get(j).atUs < its.get(i).atUs + terms.windowUs; j++) {
                    workUs += its.get(j).workUs;
                }
                double able = terms.able(its.get(i).atUs - start.atUs) * start.cores * terms.windowUs;
                if (workUs > terms.coldMultiple * able + 4 * terms.workUs) {
                    found.add("rule 4: " + start.endpoint + " was sent " + Math.round(workUs / able)
                            + " times its capacity");
                    break;
                }
            }
        }
    }

    /** In every window, tries at the canary stay within free + cap x requests taken; two and 4% above it pass. */
    private void exposure(List<String> found, SimulatedFleet.Terms terms) {
        if (caps.stream().allMatch(c -> c.build < 0)) {
            return;
        }
        Map<Integer, List<Taken>> takenBy = taken.stream().collect(Collectors.groupingBy(t -> t.relay));
        Map<Integer, List<Sent>> sentBy = sent.stream().collect(Collectors.groupingBy(s -> s.relay));
        Map<Integer, List<Cap>> told = caps.stream().collect(Collectors.groupingBy(c -> c.relay));
        told.forEach((relay, its) -> exposure(
                found,
                terms,
                relay,
                its,
                takenBy.getOrDefault(relay, List.of()),
                sentBy.getOrDefault(relay, List.of())));
    }

    private static void exposure(
            List<String> found, SimulatedFleet.Terms terms, int relay, List<Cap> told, List<Taken> in, List<Sent> out) {
        for (int i = 0; i < told.size(); i++) {
            Cap cap = told.get(i);
            long untilUs = i + 1 < told.size() ? told.get(i + 1).atUs : Long.MAX_VALUE;
            List<Sent> there = out.stream()
                    .filter(s -> s.build == cap.build && s.atUs >= cap.atUs && s.atUs < untilUs)
                    .toList();
            for (Sent from : there) {
                long endUs = from.atUs + terms.exposureUs;
                long attempts = there.stream()
                        .filter(s -> s.atUs >= from.atUs && s.atUs < endUs)
                        .count();
                long requests = in.stream()
                        .filter(t -> t.atUs >= from.atUs && t.atUs < endUs)
                        .count();
                if (attempts > terms.free + 2 + cap.cap * 1.04 * requests) {
                    found.add("rule 5: relay " + relay + " sent " + attempts + " for " + requests + " reqs");
                    break;
                }
            }
        }
    }

    /** Of all that was recorded, in order: one seed gives one digest. */
    String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            for (List<?> list : List.of(taken, sent, ran, answers, leaves, backs, caps, starts, held)) {
                list.forEach(r -> sha.update(r.toString().getBytes(StandardCharsets.UTF_8)));
            }
            messages.forEach(m -> sha.update(
                    (m.index + " " + m.atUs + " " + m.bytes + m.dueUs + m.heard).getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    long refused() {
        return answers.stream().filter(a -> !a.completed()).count();
    }

    /** The most calls that came to the release controller within a second. */
    int mostCallsInASecond() {
        int most = 0;
        int from = 0;
        for (int i = 0; i < calls.size(); i++) {
            while (calls.get(from) <= calls.get(i) - 1_000_000) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    /** The share of requests taken in a span that were completed within their route's objective. */
    double inTime(long fromUs, long toUs) {
        Map<String, Answer> byId = new HashMap<>();
        answers.forEach(a -> byId.put(a.id, a));
        List<Taken> some =
                taken.stream().filter(t -> t.atUs >= fromUs && t.atUs < toUs).toList();
        long good = some.stream()
                .filter(t -> byId.containsKey(t.id)
                        && byId.get(t.id).completed
                        && byId.get(t.id).atUs - t.atUs <= t.route.objectiveUs())
                .count();
        return good / (double) Math.max(1, some.size());
    }
}
