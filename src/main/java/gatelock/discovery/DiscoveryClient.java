package gatelock.discovery;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.config.Admission;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.OutboundConnection;
import gatelock.net.ResponseTimeouts;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;
import org.xnio.XnioExecutor;

/**
 * Polls discovery for the endpoint list: the full list first, then the changes since its index by a long poll (a
 * watch), which is renewed as soon as it has been answered. {@link EndpointListApplier} applies what the lists say, and
 * {@link ListFailureReporter} counts and logs the lists that could not be used.
 */
public final class DiscoveryClient {
    /** The longest buffered list, in bytes: 1,024 endpoints and twice as many leaving, with names of usual length. */
    public static final int MAX_LIST_BYTES = 2 * 1024 * 1024;

    /** How long discovery may hold a watch at most; short, so that a connection that has gone silent is noticed. */
    private static final long HOLD_MS = 2_000;
    /** How long a response may take beyond the time for which it is held. */
    private static final long RESPONSE_GRACE_US = 1_000_000;

    private static final long RETRY_US = 100_000;
    /**
     * Guards against a discovery that has to write a full list over and over for many relays that can't take it. It
     * does harm where the list is short enough again at once: that is then noticed so much later.
     */
    private static final long TOO_LONG_RETRY_US = 500_000;

    private static final long NO_INDEX = -1;
    private static final long NEVER_POLLED = Long.MIN_VALUE;

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final EndpointAddresses addresses;
    private final boolean onRequest;
    private final RandomGenerator random;
    private final SubsetOptions membership;
    private final EndpointEntryReader entryReader;
    private final EndpointListApplier applier;
    private final ListFailureReporter failures;
    private final ListResponseListener responses = new ResponseListener();
    private InetSocketAddress address;
    private OutboundConnection connection;
    private XnioExecutor.Key retryTimer;
    private long index = NO_INDEX;
    private boolean polling;
    private boolean listReceived;
    private long firstPollUs = NEVER_POLLED;
    private long maxSilenceUs;
    /** Waits for the first list; null where nobody waits. */
    private Runnable firstListCallback;

    private Runnable failureCallback = () -> {};

    /**
     * The part of the listed endpoints that this relay uses, and how a list is read for it.
     *
     * @param maxListBytes the longest response with a list that is accepted
     */
    public record SubsetOptions(EndpointSubset subset, ServiceNameExtractor serviceNames, long maxListBytes) {}

    /**
     * The state of the endpoint list, for the operators. Without a subset, all listed endpoints count as in scope.
     *
     * @param usesSubset whether this relay uses a subset of the listed endpoints
     * @param changedUs when the list or the subset last changed, -1 for never
     * @param tooLongLists how many lists were rejected as too long
     */
    public record ListStatus(
            boolean usesSubset, int listed, int inScope, int services, long index, long changedUs, long tooLongLists) {
        @Override
        public String toString() {
            return "list " + index + " of " + listed + " endpoints in " + services + " services, " + inScope
                    + " in scope";
        }
    }

    /**
     * Creates a client that does nothing until {@link #start}.
     *
     * @param pool the connections to discovery
     * @param endpointPool the connections to endpoints; closed where an endpoint leaves or returns as another process
     * @param zones the names of the zones, in the order of their numbers
     * @param kinds the names of the machine types, in the order of their numbers
     * @param onRequest whether the list is polled only on {@link #startPolling}, and the decisions learn of each failure
     * @param random spreads the retries
     * @param membership null: all listed endpoints are used
     */
    public DiscoveryClient(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            InetSocketAddress address,
            EndpointAddresses addresses,
            ConnectionPool endpointPool,
            List<String> zones,
            List<String> kinds,
            boolean onRequest,
            RandomGenerator random,
            SubsetOptions membership) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.address = address;
        this.addresses = addresses;
        this.onRequest = onRequest;
        this.random = random;
        this.membership = membership;
        this.entryReader = new EndpointEntryReader(
                zones, kinds, membership == null ? ServiceNameExtractor.SINGLE_SERVICE : membership.serviceNames);
        this.applier = new EndpointListApplier(
                eventLoop, addresses, endpointPool, membership == null ? null : membership.subset);
        this.failures = new ListFailureReporter(counters, membership != null);
    }

    /**
     * Applies the list that this relay last held, and starts to poll unless that is done on request only.
     *
     * @throws IOException where the cached list is malformed
     */
    public void start(DecisionEngine engine, Admission admission, JsonObject cached) throws IOException {
        List<EndpointEntry> entries = entryReader.readAll(cached, eventLoop.nowUs());
        long cachedIndex = membership == null ? 0 : cached.nonNegativeLongOr("index", 0);
        applier.start(engine, admission, entries, cachedIndex);
        if (!onRequest) {
            startPolling();
        }
    }

    /**
     * Calls back once, when discovery has sent a list, or when a poll has failed at least this long after the first
     * one was sent. Each poll still has all of its time, so that a relay whose own thread is late does not take
     * discovery for silent.
     */
    public void onFirstList(long maxSilenceUs, Runnable callback) {
        if (listReceived) {
            callback.run();
        } else {
            this.maxSilenceUs = maxSilenceUs;
            firstListCallback = callback;
        }
    }

    /** Sets what is called each time a poll has failed. */
    public void onPollFailure(Runnable callback) {
        failureCallback = callback;
    }

    /** Starts to poll, unless a poll is already under way. */
    public void startPolling() {
        if (!polling) {
            polling = true;
            poll();
        }
    }

    /** Polls at another address from now on, for the full list first; the old address is no longer listened to. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        pool.invalidate(address);
        address = newAddress;
        index = NO_INDEX;
        firstPollUs = NEVER_POLLED;
        if (polling) {
            connection.abort();
            if (retryTimer != null) {
                retryTimer.remove();
            }
            poll();
        }
    }

    /** Notes the result of an attempt at an endpoint: an endpoint that no longer responds is replaced in the subset. */
    public void attemptEnded(String endpoint, AttemptResult result) {
        applier.attemptEnded(endpoint, result);
    }

    /** Returns the state of the endpoint list. */
    public ListStatus state() {
        if (membership == null) {
            int used = addresses.size();
            return new ListStatus(false, used, used, 1, index, applier.changedUs(), failures.tooLongCount());
        }
        EndpointSubset subset = membership.subset;
        return new ListStatus(
                true,
                subset.listedCount(),
                subset.subsetSize(),
                subset.serviceCount(),
                index,
                Math.max(applier.changedUs(), subset.lastChangeUs()),
                failures.tooLongCount());
    }

    private void poll() {
        boolean watch = index >= 0;
        if (firstPollUs == NEVER_POLLED) {
            firstPollUs = eventLoop.nowUs();
        }
        String path = watch ? "/api/targets?from=" + index + "&hold_ms=" + HOLD_MS : "/api/targets";
        ByteBuffer request = StandardCharsets.US_ASCII.encode("GET " + path + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
        long firstByteUs = RESPONSE_GRACE_US + (watch ? HOLD_MS * 1000 : 0);
        if (membership == null) {
            connection = pool.send(
                    address,
                    request,
                    firstByteUs,
                    new BufferedListResponse(entryReader, eventLoop, applier, responses));
        } else {
            StreamedListResponse response = new StreamedListResponse(
                    !watch, membership.maxListBytes, entryReader, eventLoop, applier, responses);
            ResponseTimeouts timeouts = new ResponseTimeouts(
                    firstByteUs, StreamedListResponse.MAX_PAUSE_US, StreamedListResponse.MAX_TOTAL_US);
            connection = pool.send(address, request, timeouts, response, response);
        }
    }

    /** Handles a poll without a usable list: polls again after that pause or up to twice as long. */
    private void retryLater(String failure, long pauseUs) {
        failureCallback.run();
        if (firstListCallback != null && eventLoop.nowUs() - firstPollUs >= maxSilenceUs) {
            failures.logServingConfigured(failure);
            notifyFirstList();
        }
        if (onRequest) {
            polling = false;
            applier.pollFailed();
        } else {
            retryTimer = eventLoop.schedule(pauseUs + random.nextLong(pauseUs), this::poll);
        }
    }

    private void notifyFirstList() {
        if (firstListCallback != null) {
            eventLoop.execute(firstListCallback);
            firstListCallback = null;
        }
    }

    /** Advances the polling by the outcome of one poll. */
    private final class ResponseListener implements ListResponseListener {
        @Override
        public void accepted(long newIndex, boolean changed, Runnable apply) {
            failures.accepted();
            index = newIndex;
            // The next watch goes out at once, on the same connection: discovery takes what changes in between into it.
            InetSocketAddress polledAddress = address;
            eventLoop.execute(() -> {
                if (polledAddress.equals(address)) {
                    poll();
                }
            });
            if (changed) {
                apply.run();
            }
            listReceived = true;
            notifyFirstList();
        }

        @Override
        public void fullListApplied() {
            failures.logState(state());
        }

        @Override
        public void rejected(String reason) {
            failures.rejected(reason);
            retryLater("discovery's list is rejected, " + reason, RETRY_US);
        }

        @Override
        public void rejectedAsUnannounced(String reason) {
            index = NO_INDEX;
            rejected(reason);
        }

        @Override
        public void tooLong(String reason) {
            failures.tooLong(reason);
            // Changes that are too long may add up to a full list that is not.
            index = NO_INDEX;
            retryLater("discovery's list is too long", TOO_LONG_RETRY_US);
        }

        @Override
        public void silent() {
            failures.silent();
            retryLater("discovery is silent", RETRY_US);
        }
    }
}
