package gatelock.wire;

import gatelock.kept.Addresses;
import gatelock.kept.Counters;
import gatelock.kept.UnitAnswer;
import gatelock.plan.Admission;
import gatelock.relay.Gate;
import gatelock.relay.Listed;

import org.xnio.XnioExecutor;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Speaks with discovery: the whole list, then a watch that is renewed as soon as it has answered. */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger("gatelock.wire");
    /** A watch waits so long at most; short, so that a connection gone silent is found out. */
    private static final long HOLD_MS = 2_000;
    private static final long GRACE_US = 1_000_000;
    private static final long RETRY_US = 100_000;
    /**
     * Guards against a discovery that writes a list anew, all of it, for each of many relays that can't take it.
     * Harms where a list is short enough again at once: that is heard by so much later.
     */
    private static final long TOO_LONG_RETRY_US = 500_000;
    private static final int MOST_LABELS = 32;
    /** Of a list's answer: 1,024 units and twice as many that leave, with names of usual length. */
    public static final int MOST_LIST = 2 * 1024 * 1024;
    /** How far a unit's start may lie ahead of this relay's clock. */
    private static final long AHEAD_US = 60_000_000;
    private static final String TOO_LONG = "too long";
    private static final Map<String, Listed.Health> HEALTH = Map.of("in_service", Listed.Health.READY,
        "terminating", Listed.Health.DRAINING, "terminated", Listed.Health.GONE);

    private final Turn turn;
    private final Counters counters;
    private final Lines lines;
    private final Addresses addresses;
    private final Lines units;
    private final List<String> zones;
    private final List<String> kinds;
    private final boolean onRequest;
    private final RandomGenerator chance;
    private InetSocketAddress address;
    private Gate gate;
    private Admission admission;
    private Line line;
    private XnioExecutor.Key again;
    private long index = -1;
    private boolean following;
    private boolean heard;
    private long askedFirstUs = Long.MIN_VALUE;
    private long silentUs;
    private Runnable whenListed;
    private Runnable whenFailed = () -> { };
    /** Why the last answer was not taken in; null: it was. The same again is not said again. */
    private String unread;

    /**
     * @param units connections to units, closed where a unit leaves or returns as another
     * @param onRequest whether the list is followed only when asked for, and a failure is told
     */
    public Discovery(Turn turn, Counters counters, Lines lines, InetSocketAddress address,
        Addresses addresses,
                     Lines units, List<String> zones, List<String> kinds, boolean onRequest,
                     RandomGenerator chance) {
        this.turn = turn;
        this.counters = counters;
        this.lines = lines;
        this.address = address;
        this.addresses = addresses;
        this.units = units;
        this.zones = zones;
        this.kinds = kinds;
        this.onRequest = onRequest;
        this.chance = chance;
    }

    /** Begins from the list that this relay last held. */
    public void start(Gate gate, Admission admission, Json known) throws IOException {
        this.gate = gate;
        this.admission = admission;
        listed(Gate.ListForm.CACHED, entries(known), false);
        if (!onRequest) {
            follow();
        }
    }

    /**
     * Does this once a list has come from discovery, or once a call brings none that long after the first: calls
     * have all of their time, so that a thread that is late itself does not take discovery for silent.
     */
    public void whenListed(long silentUs, Runnable then) {
        if (heard) {
            then.run();
        } else {
            this.silentUs = silentUs;
            whenListed = then;
        }
    }

    /** Does this each time a call has failed. */
    public void whenFailed(Runnable then) {
        whenFailed = then;
    }

    private void listed() {
        if (whenListed != null) {
            turn.soon(whenListed);
            whenListed = null;
        }
    }

    void follow() {
        if (!following) {
            following = true;
            ask();
        }
    }

    /** Asks at another address from now on, for the whole list first; the old one is not heard any more. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        lines.close(address);
        address = to;
        index = -1;
        askedFirstUs = Long.MIN_VALUE;
        if (following) {
            line.drop();
            if (again != null) {
                again.remove();
            }
            ask();
        }
    }

    private void ask() {
        boolean watch = index >= 0;
        askedFirstUs = askedFirstUs == Long.MIN_VALUE ? turn.nowUs() : askedFirstUs;
        String path = watch ? "/api/targets?from=" + index + "&hold_ms=" + HOLD_MS : "/api/targets";
        String call = "GET " + path + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
        line = lines.call(address, StandardCharsets.US_ASCII.encode(call), GRACE_US + (watch ? HOLD_MS * 1000
            : 0),
            new Asked());
    }

    /** Takes in an answer; one that is bad anywhere changes nothing. */
    private boolean told(UnitAnswer answer) {
        try {
            if (answer.status() != 200) {
                throw new IOException("status " + answer.status());
            }
            Json list = Json.read(answer.body());
            List<Entry> entries = entries(list);
            boolean whole = list.yes("snapshot");
            unread = null;
            index = list.whole("index");
            // The next watch goes out at once, on the same connection: changes in between count as told.
            InetSocketAddress from = address;
            turn.soon(() -> {
                if (from.equals(address)) {
                    ask();
                }
            });
            if (whole || !entries.isEmpty()) {
                listed(whole ? Gate.ListForm.FULL : Gate.ListForm.DELTA, entries, whole);
            }
            heard = true;
            listed();
            return true;
        } catch (IOException e) {
            if (!e.getMessage().equals(unread)) {
                LOG.log(Level.WARNING, "discovery, what was listed stays: " + e.getMessage());
                unread = e.getMessage();
            }
            counters.add("discovery failed");
            without("discovery's list can't be taken, " + unread, RETRY_US);
            return false;
        }
    }

    private void failed() {
        counters.add("discovery failed");
        without("discovery is silent", RETRY_US);
    }

    /**
     * A list is longer than is taken: what was listed stays, and a start waits for a shorter one as long as for
     * any. A change that is too long may stand in a whole list that is not, so that is asked for next.
     */
    private void tooLong(String why) {
        counters.add("lists too long");
        if (!TOO_LONG.equals(unread)) {
            LOG.log(Level.WARNING, "discovery's list is too long: " + why + ", what was listed stays; "
                + "have fewer units listed to this relay");
            unread = TOO_LONG;
        }
        index = -1;
        without("discovery's list is too long", TOO_LONG_RETRY_US);
    }

    /** A call has brought no list, for that reason; asks again after that time or up to twice as long. */
    private void without(String why, long retryUs) {
        whenFailed.run();
        if (whenListed != null && turn.nowUs() - askedFirstUs >= silentUs) {
            LOG.log(Level.WARNING, why + ", what the configuration lists serves");
            listed();
        }
        if (onRequest) {
            following = false;
            gate.listed(turn.nowUs(), Gate.ListForm.FAILED, List.of());
        } else {
            again = turn.in(retryUs + chance.nextLong(retryUs), this::ask);
        }
    }

    private record Entry(InetSocketAddress where, Listed listed, Map<String, String> labels) {
    }

    /** Tells whoever chooses among units, pools before the decisions. */
    private void listed(Gate.ListForm form, List<Entry> entries, boolean whole) {
        List<Listed> listed = entries.stream().map(Entry::listed).toList();
        List<InetSocketAddress> left = noted(entries, whole);
        if (admission != null) {
            Map<String, Map<String, String>> labels = new HashMap<>();
            entries.stream().filter(e -> !e.labels.isEmpty()).forEach(e -> labels.put(e.listed.unit(),
                e.labels));
            admission.listed(turn.nowUs(), form, listed, labels);
        }
        gate.listed(turn.nowUs(), form, listed);
        // Only now: whoever waits for a connection to come up asks the decisions whether it may still go.
        left.forEach(units::close);
    }

    /** Labels are our own addition to an entry; what is no text under them is left out. */
    private static Map<String, String> labels(Json entry) {
        if (!(entry.fields().get("labels") instanceof Map<?, ?> borne)) {
            return Map.of();
        }
        Map<String, String> labels = new HashMap<>();
        borne.forEach((name, value) -> {
            if (value instanceof String text && labels.size() < MOST_LABELS) {
                labels.put(String.valueOf(name), text);
            }
        });
        return labels;
    }

    private List<Entry> entries(Json list) throws IOException {
        List<Entry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Json e : list.objects("endpoints")) {
            String unit = e.text("name");
            Listed.Health health = HEALTH.get(e.text("status"));
            if (health == null) {
                throw new IOException("expected a known status for " + unit);
            }
            if (!names.add(unit)) {
                throw new IOException("expected each unit once, found twice " + unit);
            }
            long startUs = e.wholeOr("since_ms", 0) * 1000;
            if (startUs > turn.nowUs() + AHEAD_US) {
                throw new IOException("expected a start that has been for " + unit);
            }
            entries.add(new Entry(e.address("address"), new Listed(unit, e.count("image_id"),
                number(zones, e, "zone"), number(kinds, e, "type"), (int) e.wholeOr("group", 0), health,
                startUs), labels(e)));
        }
        return entries;
    }

    /** Notes where the units are; returns the addresses to which what stands serves no more. */
    private List<InetSocketAddress> noted(List<Entry> entries, boolean whole) {
        List<InetSocketAddress> left = new ArrayList<>();
        entries.forEach(e -> left.addAll(addresses.put(e.where, e.listed)));
        if (whole) {
            left.addAll(addresses.keepOnly(entries.stream().map(e -> e.listed.unit())
                .collect(Collectors.toSet())));
        }
        return left;
    }

    private static int number(List<String> names, Json entry, String field) {
        return Math.max(0, names.indexOf(entry.textOr(field, "")));
    }

    /** One call for the list. */
    private final class Asked implements Line.User {
        private String tooLong;

        @Override
        public boolean answered(UnitAnswer answer) {
            return told(answer);
        }

        @Override
        public void broken(boolean written) {
            if (tooLong == null) {
                failed();
            } else {
                Discovery.this.tooLong(tooLong);
            }
        }

        @Override
        public void tooLong(String why) {
            tooLong = why;
        }

        @Override
        public void late() {
            failed();
        }
    }
}
