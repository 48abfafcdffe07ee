package gatelock.fleet;

import gatelock.relay.Route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What units, clients, the list and the desk saw, and the five rules checked from that alone: nothing here
 * asks a relay what it meant.
 */
final class Records {
    record Taken(String id, int relay, Route route, long atUs, long endUs) {
    }

    record Answer(String id, long atUs, boolean completed) {
    }

    record Sent(String id, int relay, String unit, int build, double workUs, long atUs) {
    }

    record Ran(String id, String unit, long atUs) {
    }

    record Told(int relay, String unit, long atUs) {
    }

    record Cap(int relay, int build, double cap, long atUs) {
    }

    record Start(String unit, double cores, long atUs) {
    }

    private static final long SLACK_US = 50_000;

    final List<Taken> taken = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Ran> ran = new ArrayList<>();
    final List<Told> leaves = new ArrayList<>();
    final List<Cap> caps = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    final List<Long> calls = new ArrayList<>();
    /** Reqs whose relay was ended under them: they are owed nothing. */
    final Map<String, Long> ended = new HashMap<>();
    int opened;

    /** Every rule that these records break, one line for each case. */
    List<String> broken(Fleet.Terms terms) {
        List<String> found = new ArrayList<>();
        oneAnswer(found);
        noEffectTwice(found);
        nothingToLeaving(found);
        coldUnits(found, terms);
        exposure(found, terms);
        return found;
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
        Map<String, Route> routes = new HashMap<>();
        taken.forEach(t -> routes.put(t.id, t.route));
        Map<String, Integer> times = new HashMap<>();
        ran.forEach(r -> times.merge(r.id, 1, Integer::sum));
        times.forEach((id, n) -> {
            if (n > 1 && routes.get(id).repeat() == Route.Repeat.NON_RETRIABLE) {
                found.add("rule 2: " + id + " ran " + n + " times");
            }
        });
    }

    private void nothingToLeaving(List<String> found) {
        Map<String, Long> left = new HashMap<>();
        leaves.forEach(l -> left.merge(l.relay + " " + l.unit, l.atUs, Math::min));
        for (Sent s : sent) {
            Long atUs = left.get(s.relay + " " + s.unit);
            if (atUs != null && s.atUs > atUs + 1_000_000 + SLACK_US) {
                found.add("rule 3: " + s.id + " went to " + s.unit + " after it left");
            }
        }
    }

    /** In every window that begins with a send, the work sent to a cold unit stays under its multiple. */
    private void coldUnits(List<String> found, Fleet.Terms terms) {
        Map<String, List<Sent>> byUnit = new HashMap<>();
        sent.forEach(s -> byUnit.computeIfAbsent(s.unit, u -> new ArrayList<>()).add(s));
        for (Start start : starts) {
            List<Sent> its = byUnit.getOrDefault(start.unit, List.of()).stream()
                .filter(s -> s.atUs < start.atUs + terms.warmUs).toList();
            for (int i = 0; i < its.size(); i++) {
                double workUs = 0;
                for (int j = i; j < its.size() && its.get(j).atUs < its.get(i).atUs + terms.windowUs; j++) {
                    workUs += its.get(j).workUs;
                }
                double able = terms.able(its.get(i).atUs - start.atUs) * start.cores * terms.windowUs;
                if (workUs > terms.coldMultiple * able + 4 * terms.workUs) {
                    found.add("rule 4: " + start.unit + " was sent " + Math.round(workUs / able)
                        + " times its capacity");
                    break;
                }
            }
        }
    }

    /** In every window, tries at the trial stay within free + cap x reqs taken; two and 4% above it pass. */
    private void exposure(List<String> found, Fleet.Terms terms) {
        for (int relay = 0; relay < terms.relays; relay++) {
            int of = relay;
            List<Taken> in = taken.stream().filter(t -> t.relay == of).toList();
            List<Cap> told = caps.stream().filter(c -> c.relay == of).toList();
            for (int i = 0; i < told.size(); i++) {
                Cap cap = told.get(i);
                long untilUs = i + 1 < told.size() ? told.get(i + 1).atUs : Long.MAX_VALUE;
                List<Sent> there = sent.stream().filter(s -> s.relay == of && s.build == cap.build
                    && s.atUs >= cap.atUs && s.atUs < untilUs).toList();
                for (Sent from : there) {
                    long endUs = from.atUs + terms.exposureUs;
                    long tries = there.stream().filter(s -> s.atUs >= from.atUs && s.atUs < endUs).count();
                    long reqs = in.stream().filter(t -> t.atUs >= from.atUs && t.atUs < endUs).count();
                    if (tries > terms.free + 2 + cap.cap * 1.04 * reqs) {
                        found.add("rule 5: relay " + relay + " sent " + tries + " for " + reqs + " reqs");
                        break;
                    }
                }
            }
        }
    }

    /** The most calls that came to the desk within a second. */
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

    /** The share of reqs taken in a span that were completed within their route's objective. */
    double inTime(long fromUs, long toUs) {
        Map<String, Answer> byId = new HashMap<>();
        answers.forEach(a -> byId.put(a.id, a));
        List<Taken> some = taken.stream().filter(t -> t.atUs >= fromUs && t.atUs < toUs).toList();
        long good = some.stream().filter(t -> byId.containsKey(t.id) && byId.get(t.id).completed
            && byId.get(t.id).atUs - t.atUs <= t.route.objectiveUs()).count();
        return good / (double) Math.max(1, some.size());
    }
}
