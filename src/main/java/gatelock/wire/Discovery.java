package gatelock.wire;

import gatelock.kept.Addresses;
import gatelock.kept.Counters;
import gatelock.kept.UnitAnswer;
import gatelock.relay.Gate;
import gatelock.relay.Listed;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Speaks with discovery: the whole list, then a watch that is renewed as soon as it has answered. */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger("gatelock.wire");
    /** A watch waits so long at most; short, so that a connection gone silent is found out. */
    private static final long HOLD_MS = 2_000;
    private static final long GRACE_US = 1_000_000;
    private static final long RETRY_US = 100_000;
    private static final Map<String, Listed.Health> HEALTH = Map.of("in_service", Listed.Health.READY,
        "terminating", Listed.Health.DRAINING, "terminated", Listed.Health.GONE);

    private final Turn turn;
    private final Counters counters;
    private final Lines lines;
    private final InetSocketAddress address;
    private final Addresses addresses;
    private final Lines units;
    private final List<String> zones;
    private final List<String> kinds;
    private final boolean onRequest;
    private final RandomGenerator chance;
    private Gate gate;
    private long index = -1;
    private boolean following;

    /**
     * @param units connections to units, closed where a unit leaves or returns as another
     * @param onRequest whether the list is followed only when asked for, and a failure is told
     */
    public Discovery(Turn turn, Counters counters, Lines lines, InetSocketAddress address, Addresses addresses,
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
    public void start(Gate gate, Json known) throws IOException {
        this.gate = gate;
        gate.listed(turn.nowUs(), Gate.ListForm.CACHED, entries(known));
        if (!onRequest) {
            follow();
        }
    }

    void follow() {
        if (!following) {
            following = true;
            ask();
        }
    }

    private void ask() {
        boolean watch = index >= 0;
        String path = watch ? "/api/targets?from=" + index + "&hold_ms=" + HOLD_MS : "/api/targets";
        String call = "GET " + path + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
        lines.call(address, StandardCharsets.US_ASCII.encode(call), GRACE_US + (watch ? HOLD_MS * 1000 : 0),
            new Asked());
    }

    private void told(UnitAnswer answer) {
        try {
            if (answer.status() != 200) {
                throw new IOException("status " + answer.status());
            }
            Json list = Json.read(answer.body());
            List<Listed> entries = entries(list);
            boolean whole = list.yes("snapshot");
            boolean news = whole || !entries.isEmpty();
            index = list.whole("index");
            // The next watch goes out first: changes in between count as told.
            ask();
            if (news) {
                gate.listed(turn.nowUs(), whole ? Gate.ListForm.FULL : Gate.ListForm.DELTA, entries);
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "discovery: " + e.getMessage());
            failed();
        }
    }

    private void failed() {
        counters.add("discovery failed");
        if (onRequest) {
            following = false;
            gate.listed(turn.nowUs(), Gate.ListForm.FAILED, List.of());
        } else {
            turn.in(RETRY_US + chance.nextLong(RETRY_US), this::ask);
        }
    }

    private List<Listed> entries(Json list) throws IOException {
        List<Listed> entries = new ArrayList<>();
        for (Json e : list.objects("endpoints")) {
            String unit = e.text("name");
            Listed.Health health = HEALTH.get(e.text("status"));
            if (health == null) {
                throw new IOException("expected a known status for " + unit);
            }
            InetSocketAddress where = e.address("address");
            Listed listed = new Listed(unit, (int) e.whole("image_id"), number(zones, e, "zone"),
                number(kinds, e, "type"), (int) e.wholeOr("group", 0), health, e.wholeOr("since_ms", 0) * 1000);
            entries.add(listed);
            Addresses.Place before = addresses.put(where, listed);
            if (before != null) {
                units.close(before.address());
            }
        }
        return entries;
    }

    private static int number(List<String> names, Json entry, String field) {
        return Math.max(0, names.indexOf(entry.textOr(field, "")));
    }

    /** One call for the list. */
    private final class Asked implements Line.User {
        @Override
        public void answered(UnitAnswer answer) {
            told(answer);
        }

        @Override
        public void broken(boolean written) {
            failed();
        }

        @Override
        public void late() {
            failed();
        }
    }
}
