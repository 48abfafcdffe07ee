package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Compares the route table with a linear search on random routes and requests, and tests covering matches. Also guards
 * against requests that bypass a route with a path that an endpoint interprets differently.
 */
final class RouteTableTest {
    private static final String[] SEGMENTS = {"a", "b", "c", "aa", "x%20y", ""};
    private static final String[] HOSTS = {"*", "one.lk", "*.lk", "*.one.lk", "two.one.lk"};
    private static final String[] REQUESTED_HOSTS = {"one.lk", "two.one.lk", "lk", "One.LK", "three.two.one.lk", "other"
    };

    /** The reference implementation: a linear search for the first route that matches. */
    private static Integer searchList(List<RouteMatch> matches, RequestAttributes request) {
        for (int i = 0; i < matches.size(); i++) {
            RouteMatch match = matches.get(i);
            List<String> path = RouteMatch.splitPath(request.path());
            boolean isPrefix = path.size() >= match.segments().size()
                    && path.subList(0, match.segments().size()).equals(match.segments());
            if (isPrefix && match.matchesIgnoringPath(request)) {
                return i;
            }
        }
        return null;
    }

    private static String randomPath(RandomGenerator random) {
        StringBuilder path = new StringBuilder();
        for (int n = random.nextInt(5); n > 0; n--) {
            path.append('/').append(SEGMENTS[random.nextInt(SEGMENTS.length)]);
        }
        return path.isEmpty() || random.nextInt(5) == 0 ? path + "/" : path.toString();
    }

    private static RouteMatch randomMatch(RandomGenerator random) {
        Set<String> methods = new HashSet<>(random.nextInt(3) == 0 ? List.of("GET") : List.of());
        Map<String, String> headers = new HashMap<>();
        if (random.nextInt(3) == 0) {
            headers.put("x-a", random.nextBoolean() ? "*" : "1");
        }
        return new RouteMatch(
                HOSTS[random.nextInt(HOSTS.length)], RouteMatch.splitPath(randomPath(random)), methods, headers);
    }

    private static RequestAttributes randomRequest(RandomGenerator random) {
        Map<String, String> headers = random.nextBoolean() ? Map.of() : Map.of("x-a", random.nextBoolean() ? "1" : "2");
        return new RequestAttributes(
                random.nextBoolean() ? "GET" : "POST",
                random.nextInt(9) == 0 ? null : REQUESTED_HOSTS[random.nextInt(REQUESTED_HOSTS.length)],
                randomPath(random),
                headers::get);
    }

    @Property(tries = 500, seed = "17")
    void findsSameRouteAsLinearSearch(@ForAll long seed, @ForAll @IntRange(min = 0, max = 60) int size) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<RouteMatch> matches = new ArrayList<>();
        List<Integer> positions = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            matches.add(randomMatch(random));
            positions.add(i);
        }
        RouteTable<Integer> table = new RouteTable<>(matches, positions);
        for (int i = 0; i < 200; i++) {
            RequestAttributes request = randomRequest(random);
            assertThat(table.findFirst(request))
                    .as("%s in %s", request, matches)
                    .isEqualTo(searchList(matches, request));
        }
    }

    @Property(tries = 500, seed = "17")
    void matchesAllRequestsOfCoveredMatch(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int i = 0; i < 50; i++) {
            RouteMatch wide = randomMatch(random);
            RouteMatch narrow = randomMatch(random);
            for (int j = 0; j < 40 && wide.covers(narrow); j++) {
                RequestAttributes request = randomRequest(random);
                if (searchList(List.of(narrow), request) != null) {
                    assertThat(searchList(List.of(wide), request))
                            .as("%s covers %s, %s", wide, narrow, request)
                            .isNotNull();
                }
            }
        }
    }

    @Test
    void detectsAmbiguousPath() {
        for (String ambiguous : new String[] {
            "a",
            "/a/../b",
            "/a/./b",
            "/..",
            "/a/%2e%2e/b",
            "/a/.%2E/b",
            "/a%2Fb",
            "/a%5cb",
            "//a",
            "/a//b",
            "/a\\b",
            "/a/..;x/b",
            "/a%00"
        }) {
            assertThat(RouteMatch.isAmbiguousPath(ambiguous)).as(ambiguous).isTrue();
        }
        for (String plain : new String[] {"/", "/a", "/a/", "/a.b/..c", "/a%20b", "/a;v=1", "/.well-known/x"}) {
            assertThat(RouteMatch.isAmbiguousPath(plain)).as(plain).isFalse();
        }
    }
}
