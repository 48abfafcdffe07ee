package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a plan does with a request, said before one comes. */
public final class RouteExplainer {
    private RouteExplainer() {}

    /** Each point by its name: entry, class, pools in order, limits, retries. */
    public static Map<String, Object> of(CompiledConfig plan, DeploymentContext grounds, RequestAttributes asked) {
        Map<String, Object> said = new LinkedHashMap<>();
        if (RouteMatch.odd(asked.path())) {
            said.put("answer", "400: a unit may read this path as another one");
            return said;
        }
        RouteEntry entry = plan.entry(asked);
        if (entry == null) {
            said.put(
                    "answer",
                    plan.refusesUnmatched()
                            ? "404: no route is for it"
                            : "no route is for it: it goes by the "
                                    + "first part of its path, to all units, without limits");
            return said;
        }
        said.put("route", entry.name());
        said.put("class", grounds.className(entry.classNo()));
        List<String> chain = plan.chain(entry.pool());
        said.put("pools", chain.isEmpty() ? "all units" : String.join(", then ", chain));
        List<String> limits = new ArrayList<>();
        entry.limits().forEach(l -> limits.add(words(l)));
        said.put("limits", limits);
        Map<String, String> attempts = new LinkedHashMap<>();
        if (chain.isEmpty()) {
            attempts.put("all units", words(plan.retries(entry, null)));
        }
        chain.forEach(p -> attempts.put(p, words(plan.retries(entry, p))));
        said.put("tries", attempts);
        return said;
    }

    static String words(LimitPolicy l) {
        StringBuilder words = new StringBuilder(l.name())
                .append(": per ")
                .append(l.per().name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '));
        if (l.perUs() < Double.POSITIVE_INFINITY) {
            words.append(", ")
                    .append(number(l.perUs() * 1e6))
                    .append(" reqs a second, ")
                    .append(number(l.burst()))
                    .append(" at once");
        }
        if (l.inFlight() < Integer.MAX_VALUE) {
            words.append(", ").append(l.inFlight()).append(" in flight");
        }
        words.append(
                l.queueLength() > 0
                        ? ", " + l.queueLength() + " may wait for " + l.waitUs() / 1000 + " ms"
                        : ", none waits");
        return words.toString();
    }

    static String words(RetryPolicy r) {
        if (r == RetryPolicy.FREE) {
            return "as the module decides";
        }
        return r.name() + ": " + r.most() + " tries"
                + (r.most() == 1
                        ? ""
                        : " after "
                                + r.after().stream()
                                        .filter(e -> e != gatelock.api.AttemptResult.NOT_SENT)
                                        .map(e -> e.name()
                                                .toLowerCase(java.util.Locale.ROOT)
                                                .replace('_', '-'))
                                        .sorted()
                                        .toList()
                                + ", further ones up to " + number(r.budget()) + " of reqs")
                + (r.attemptUs() > 0 ? ", each for " + r.attemptUs() / 1000 + " ms" : "");
    }

    private static String number(double n) {
        return n == Math.rint(n) && Math.abs(n) < 1e15 ? Long.toString((long) n) : Double.toString(n);
    }
}
