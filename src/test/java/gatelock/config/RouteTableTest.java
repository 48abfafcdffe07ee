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

/** The compiled table against a plain list that is searched from its start. */
final class RouteTableTest {
    private static final String[] SEGMENTS = {"a", "b", "c", "aa", "x%20y", ""};
    private static final String[] HOSTS = {"*", "one.lk", "*.lk", "*.one.lk", "two.one.lk"};
    private static final String[] ASKED_HOSTS = {"one.lk", "two.one.lk", "lk", "One.LK", "three.two.one.lk", "other"};

    /** What a table means, word by word, with no regard to time. */
    private static Integer plain(List<RouteMatch> matches, RequestAttributes asked) {
        for (int i = 0; i < matches.size(); i++) {
            RouteMatch m = matches.get(i);
            List<String> path = RouteMatch.segments(asked.path());
            boolean start = path.size() >= m.segments().size()
                    && path.subList(0, m.segments().size()).equals(m.segments());
            if (start && m.fitsBeside(asked)) {
                return i;
            }
        }
        return null;
    }

    private static String path(RandomGenerator random) {
        StringBuilder path = new StringBuilder();
        for (int n = random.nextInt(5); n > 0; n--) {
            path.append('/').append(SEGMENTS[random.nextInt(SEGMENTS.length)]);
        }
        return path.isEmpty() || random.nextInt(5) == 0 ? path + "/" : path.toString();
    }

    private static RouteMatch match(RandomGenerator random) {
        Set<String> methods = new HashSet<>(random.nextInt(3) == 0 ? List.of("GET") : List.of());
        Map<String, String> headers = new HashMap<>();
        if (random.nextInt(3) == 0) {
            headers.put("x-a", random.nextBoolean() ? "*" : "1");
        }
        return new RouteMatch(HOSTS[random.nextInt(HOSTS.length)], RouteMatch.segments(path(random)), methods, headers);
    }

    private static RequestAttributes asked(RandomGenerator random) {
        Map<String, String> headers = random.nextBoolean() ? Map.of() : Map.of("x-a", random.nextBoolean() ? "1" : "2");
        return new RequestAttributes(
                random.nextBoolean() ? "GET" : "POST",
                random.nextInt(9) == 0 ? null : ASKED_HOSTS[random.nextInt(ASKED_HOSTS.length)],
                path(random),
                headers::get);
    }

    @Property(tries = 500, seed = "17")
    void itFindsWhatAPlainSearchFinds(@ForAll long seed, @ForAll @IntRange(min = 0, max = 60) int size) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<RouteMatch> matches = new ArrayList<>();
        List<Integer> places = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            matches.add(match(random));
            places.add(i);
        }
        RouteTable<Integer> table = new RouteTable<>(matches, places);
        for (int i = 0; i < 200; i++) {
            RequestAttributes asked = asked(random);
            assertThat(table.first(asked)).as("%s in %s", asked, matches).isEqualTo(plain(matches, asked));
        }
    }

    @Property(tries = 500, seed = "17")
    void whatCoversAnotherTakesAllThatItTakes(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (int i = 0; i < 50; i++) {
            RouteMatch some = match(random);
            RouteMatch other = match(random);
            for (int j = 0; j < 40 && some.covers(other); j++) {
                RequestAttributes asked = asked(random);
                if (plain(List.of(other), asked) != null) {
                    assertThat(plain(List.of(some), asked))
                            .as("%s covers %s, %s", some, other, asked)
                            .isNotNull();
                }
            }
        }
    }

    @Test
    void aPathThatAnEndpointMayReadAsAnotherIsOdd() {
        for (String odd : new String[] {
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
            assertThat(RouteMatch.odd(odd)).as(odd).isTrue();
        }
        for (String usual : new String[] {"/", "/a", "/a/", "/a.b/..c", "/a%20b", "/a;v=1", "/.well-known/x"}) {
            assertThat(RouteMatch.odd(usual)).as(usual).isFalse();
        }
    }
}
