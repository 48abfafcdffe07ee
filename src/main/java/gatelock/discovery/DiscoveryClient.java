package gatelock.discovery;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.config.Admission;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.net.BodyConsumer;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.MalformedResponseException;
import gatelock.net.OutboundConnection;
import gatelock.net.ResponseTooLongException;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.xnio.XnioExecutor;

/** Speaks with discovery: the whole list, then a watch that is renewed as soon as it has answered. */
public final class DiscoveryClient {
    private static final System.Logger LOG = System.getLogger("gatelock.discovery");
    /** A watch waits so long at most; short, so that a connection gone silent is found out. */
    private static final long HOLD_MS = 2_000;

    private static final long GRACE_US = 1_000_000;
    private static final long RETRY_US = 100_000;
    /**
     * Guards against a discovery that writes a list anew, all of it, for each of many relays that can't take it.
     * Harms where a list is short enough again at once: that is heard by so much later.
     */
    private static final long TOO_LONG_RETRY_US = 500_000;
    /**
     * A list that is read by scope may be of many megabytes and take as long as the way to it needs. Guards instead
     * against one that no longer comes: so long without a byte of it, and so long in all, as a list that trickles
     * in forever is none. Harms where a pause is longer and would have ended: the list is asked for again.
     */
    private static final long PIECE_US = 1_000_000;

    private static final long WHOLE_US = 30_000_000;
    private static final long SCOPE_LOOK_US = 250_000;
    /** Of a list's answer: 1,024 endpoints and twice as many that leave, with names of usual length. */
    public static final int MOST_LIST = 2 * 1024 * 1024;

    private static final String TOO_LONG = "too long";

    private final EventLoop turn;
    private final Counters counters;
    private final ConnectionPool lines;
    private final EndpointAddresses addresses;
    private final ConnectionPool endpoints;
    private final EndpointEntryReader reader;
    private final Membership membership;
    private final boolean onRequest;
    private final RandomGenerator chance;
    private InetSocketAddress address;
    private DecisionEngine gate;
    private Admission admission;
    private OutboundConnection line;
    private XnioExecutor.Key again;
    private long index = -1;
    private boolean following;
    private boolean heard;
    private long askedFirstUs = Long.MIN_VALUE;
    private long silentUs;
    private Runnable whenListed;
    private Runnable whenFailed = () -> {};
    /** Why the last answer was not taken in; null: it was. The same again is not said again. */
    private String unread;

    private long changedUs = -1;
    private long tooLong;

    /**
     * The endpoints that this relay uses of those that are listed.
     *
     * @param mostListBytes that an answer with a list may have
     */
    public record Membership(EndpointSubset scope, ServiceNameExtractor service, long mostListBytes) {}

    /**
     * For the operators; without a scope, all that is listed is in scope.
     *
     * @param changedUs when the list or scope last changed, -1: never
     * @param tooLong lists that were too long to be taken
     */
    public record State(
            boolean scoped, int listed, int inScope, int services, long index, long changedUs, long tooLong) {
        @Override
        public String toString() {
            return "list " + index + " of " + listed + " units in " + services + " services, " + inScope + " in scope";
        }
    }

    /**
     * @param endpoints connections to endpoints, closed where an endpoint leaves or returns as another
     * @param onRequest whether the list is followed only when asked for, and a failure is told
     * @param membership null: all endpoints that are listed are used
     */
    public DiscoveryClient(
            EventLoop turn,
            Counters counters,
            ConnectionPool lines,
            InetSocketAddress address,
            EndpointAddresses addresses,
            ConnectionPool endpoints,
            List<String> zones,
            List<String> kinds,
            boolean onRequest,
            RandomGenerator chance,
            Membership membership) {
        this.turn = turn;
        this.counters = counters;
        this.lines = lines;
        this.address = address;
        this.addresses = addresses;
        this.endpoints = endpoints;
        this.reader = new EndpointEntryReader(
                zones, kinds, membership == null ? ServiceNameExtractor.ONE : membership.service);
        this.membership = membership;
        this.onRequest = onRequest;
        this.chance = chance;
    }

    /** Begins from the list that this relay last held. */
    public void start(DecisionEngine gate, Admission admission, JsonObject known) throws IOException {
        this.gate = gate;
        this.admission = admission;
        List<EndpointEntry> entries = entries(known);
        if (membership != null) {
            EndpointSubset.Reading reading = membership.scope.read(true);
            entries.forEach(reading::add);
            entries = reading.take(turn.nowUs(), known.wholeOr("index", 0)).entries();
            turn.in(SCOPE_LOOK_US, this::look);
        }
        listed(DecisionEngine.ListForm.CACHED, entries, false);
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

    public void follow() {
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
        ByteBuffer bytes = StandardCharsets.US_ASCII.encode(call);
        long answerUs = GRACE_US + (watch ? HOLD_MS * 1000 : 0);
        if (membership == null) {
            line = lines.call(address, bytes, answerUs, new Asked());
        } else {
            AskedByScope asked = new AskedByScope(!watch);
            line = lines.call(
                    address, bytes, new OutboundConnection.Patience(answerUs, PIECE_US, WHOLE_US), asked, asked);
        }
    }

    /** Takes in an answer; one that is bad anywhere changes nothing. */
    private boolean told(UpstreamResponse answer) {
        try {
            if (answer.status() != 200) {
                throw new IOException("status " + answer.status());
            }
            JsonObject list = JsonObject.read(answer.body());
            List<EndpointEntry> entries = entries(list);
            boolean whole = list.yes("snapshot");
            unread = null;
            taken(
                    list.whole("index"),
                    whole || !entries.isEmpty(),
                    () -> listed(whole ? DecisionEngine.ListForm.FULL : DecisionEngine.ListForm.DELTA, entries, whole));
            return true;
        } catch (IOException e) {
            bad(e.getMessage());
            return false;
        }
    }

    /** A good list has come: asks for what changes from there, and tells it. */
    private void taken(long index, boolean changes, Runnable tell) {
        this.index = index;
        // The next watch goes out at once, on the same connection: changes in between count as told.
        InetSocketAddress from = address;
        turn.soon(() -> {
            if (from.equals(address)) {
                ask();
            }
        });
        if (changes) {
            tell.run();
        }
        heard = true;
        listed();
    }

    private void bad(String why) {
        if (!why.equals(unread)) {
            LOG.log(Level.WARNING, "discovery, what was listed stays: " + why);
            unread = why;
        }
        counters.add("discovery failed");
        without("discovery's list can't be taken, " + unread, RETRY_US);
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
        tooLong++;
        if (!TOO_LONG.equals(unread)) {
            LOG.log(
                    Level.WARNING,
                    "discovery's list is too long: " + why + ", what was listed stays; "
                            + (membership == null
                                    ? "name a scope (membership) in the operator's file"
                                    : "raise membership.mostListBytes in the operator's file")
                            + ", or have fewer units listed");
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
            gate.listed(turn.nowUs(), DecisionEngine.ListForm.FAILED, List.of());
        } else {
            again = turn.in(retryUs + chance.nextLong(retryUs), this::ask);
        }
    }

    /** Tells whoever chooses among endpoints, pools before the decisions. */
    private void listed(DecisionEngine.ListForm form, List<EndpointEntry> entries, boolean whole) {
        List<Endpoint> listed = entries.stream().map(EndpointEntry::listed).toList();
        List<InetSocketAddress> left = noted(entries, listed, whole);
        if (admission != null) {
            Map<String, Map<String, String>> labels = new HashMap<>();
            entries.stream().filter(e -> !e.labels().isEmpty()).forEach(e -> labels.put(e.name(), e.labels()));
            admission.listed(turn.nowUs(), form, listed, labels);
        }
        gate.listed(turn.nowUs(), form, listed);
        changedUs = turn.nowUs();
        // Only now: whoever waits for a connection to come up asks the decisions whether it may still go.
        left.forEach(endpoints::close);
    }

    /** The same of what this relay uses; nothing where that has not changed. */
    private void listed(EndpointSubset.Change change) {
        if (change.whole() || !change.entries().isEmpty()) {
            listed(
                    change.whole() ? DecisionEngine.ListForm.FULL : DecisionEngine.ListForm.DELTA,
                    change.entries(),
                    change.whole());
        }
    }

    /** The scope's turn has come: it may grow or shrink by what was heard of its endpoints. */
    private void look() {
        listed(membership.scope.due(turn.nowUs()));
        turn.in(SCOPE_LOOK_US, this::look);
    }

    /** An attempt at an endpoint has ended. */
    public void ended(String endpoint, AttemptResult ending) {
        if (membership != null && ending != AttemptResult.CANCELLED && ending != AttemptResult.NOT_SENT) {
            boolean heard = ending == AttemptResult.COMPLETED
                    || ending == AttemptResult.ERRORED
                    || ending == AttemptResult.TURNED_AWAY;
            membership.scope.ended(turn.nowUs(), endpoint, heard);
        }
    }

    public State state() {
        EndpointSubset scope = membership == null ? null : membership.scope;
        int used = addresses.size();
        return new State(
                scope != null,
                scope == null ? used : scope.listed(),
                scope == null ? used : scope.inScope(),
                scope == null ? 1 : scope.services(),
                index,
                scope == null ? changedUs : Math.max(changedUs, scope.changedUs()),
                tooLong);
    }

    private List<EndpointEntry> entries(JsonObject list) throws IOException {
        List<EndpointEntry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonObject e : list.objects("endpoints")) {
            EndpointEntry entry = reader.read(e, turn.nowUs());
            if (!names.add(entry.name())) {
                throw new IOException("expected each unit once, found twice " + entry.name());
            }
            entries.add(entry);
        }
        return entries;
    }

    /** Notes where the endpoints are; returns the addresses to which what stands serves no more. */
    private List<InetSocketAddress> noted(List<EndpointEntry> entries, List<Endpoint> listed, boolean whole) {
        List<InetSocketAddress> left = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            left.addAll(addresses.put(JsonObject.resolved(entries.get(i).address()), listed.get(i)));
        }
        if (whole) {
            left.addAll(
                    addresses.keepOnly(entries.stream().map(EndpointEntry::name).collect(Collectors.toSet())));
        }
        return left;
    }

    /** One call for the list. */
    private class Asked implements OutboundConnection.User {
        private String tooLong;
        private String unreadable;

        @Override
        public boolean answered(UpstreamResponse answer) {
            return told(answer);
        }

        @Override
        public void broken(boolean written) {
            String why = unreadable != null ? unreadable : brokenOff();
            if (tooLong != null) {
                DiscoveryClient.this.tooLong(tooLong);
            } else if (why != null) {
                bad(why);
            } else {
                failed();
            }
        }

        /** Why a list that has begun is none; null: none has. */
        String brokenOff() {
            return null;
        }

        @Override
        public void unreadable(String why) {
            unreadable = why;
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

    /** One call for a list that is read as it comes; it counts only once it has come to a good end. */
    private final class AskedByScope extends Asked implements BodyConsumer, EndpointListReader.Taker {
        private final boolean wholeAsked;
        private EndpointListReader list;
        private long cameBytes;
        private EndpointSubset.Reading reading;
        private boolean none = true;

        AskedByScope(boolean wholeAsked) {
            this.wholeAsked = wholeAsked;
        }

        @Override
        public void begins(int status, long bytes) throws MalformedResponseException {
            if (status != 200) {
                throw new MalformedResponseException("status " + status);
            }
            if (bytes > membership.mostListBytes) {
                throw new ResponseTooLongException("" + bytes, membership.mostListBytes);
            }
            list = new EndpointListReader(wholeAsked, this);
        }

        @Override
        public void take(byte[] some) throws MalformedResponseException {
            cameBytes += some.length;
            if (cameBytes > membership.mostListBytes) {
                throw new ResponseTooLongException("at least " + cameBytes, membership.mostListBytes);
            }
            try {
                list.read(some);
            } catch (IOException e) {
                throw new MalformedResponseException(e.getMessage());
            }
        }

        @Override
        public void begins(boolean whole) {
            reading = membership.scope.read(whole);
        }

        @Override
        public void entry(JsonObject entry) throws IOException {
            EndpointEntry read = reader.read(entry, turn.nowUs());
            none = false;
            try {
                reading.add(read);
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
        }

        @Override
        public boolean answered(UpstreamResponse answer) {
            try {
                EndpointListReader.Frame frame = list.end();
                unread = null;
                // A watch that ended without a change is none.
                taken(frame.index(), frame.whole() || !none, () -> {
                    listed(reading.take(turn.nowUs(), frame.index()));
                    if (frame.whole()) {
                        LOG.log(Level.INFO, state().toString());
                    }
                });
                return true;
            } catch (IOException e) {
                // Asked for as a whole list it can be read, whatever it tells where.
                index = list.mistaken() ? -1 : index;
                bad(e.getMessage());
                return false;
            }
        }

        @Override
        String brokenOff() {
            return list == null ? null : "the list broke off";
        }

        @Override
        public void late() {
            if (list == null) {
                failed();
            } else {
                bad("the list stopped for " + PIECE_US / 1_000 + " ms, or took longer than " + WHOLE_US / 1_000
                        + " ms");
            }
        }
    }
}
