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
 * Polls the discovery service for the endpoint list. The first poll fetches the full list. Each later poll is a long
 * poll (a watch) for the changes since the index of the last list, and is sent again as soon as it has been answered.
 * {@link EndpointListApplier} applies the lists, and {@link ListFailureReporter} counts and logs the polls that brought
 * no usable list.
 */
public final class DiscoveryClient {
    /**
     * The maximum length of a buffered list, in bytes. It has room for 1,024 endpoints and twice as many that are
     * leaving, with names of typical length.
     */
    public static final int MAX_LIST_BYTES = 2 * 1024 * 1024;

    /**
     * How long discovery may hold a watch before it responds. The time is short so that an unresponsive connection is
     * noticed.
     */
    private static final long LONG_POLL_HOLD_MS = 2_000;
    /** How long a response may take in addition to the time for which discovery holds the poll. */
    private static final long RESPONSE_GRACE_US = 1_000_000;

    /** The delay before the next poll after a failed one. */
    private static final long RETRY_DELAY_US = 100_000;
    /**
     * The delay before the next poll after a list that was too long. It keeps discovery from writing a full list over
     * and over for many relays that cannot accept it. As a drawback, the relay notices that much later when the list
     * has become short enough.
     */
    private static final long TOO_LONG_RETRY_DELAY_US = 500_000;

    private static final long NO_INDEX = -1;
    private static final long NEVER_POLLED = Long.MIN_VALUE;

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final EndpointAddresses addresses;
    private final boolean pollOnDemand;
    private final RandomGenerator random;
    private final SubsetOptions subsetOptions;
    private final EndpointEntryReader entryReader;
    private final EndpointListApplier applier;
    private final ListFailureReporter failures;
    private final ListResponseListener responseListener = new ResponseListener();
    private InetSocketAddress address;
    private OutboundConnection connection;
    private XnioExecutor.Key retryTimer;
    private long index = NO_INDEX;
    private boolean polling;
    private boolean listReceived;
    private long firstPollUs = NEVER_POLLED;
    private long firstListTimeoutUs;
    /** Called when the first list has arrived or is no longer awaited; null if no caller waits for it. */
    private Runnable firstListCallback;

    private Runnable failureCallback = () -> {};

    /**
     * The settings of a relay that uses a subset of the listed endpoints.
     *
     * @param subset selects the endpoints that this relay uses
     * @param serviceNames derives the service of each listed endpoint
     * @param maxListBytes the maximum length of a response that contains a list
     */
    public record SubsetOptions(EndpointSubset subset, ServiceNameExtractor serviceNames, long maxListBytes) {}

    /**
     * The status of the endpoint list, for operators. Without a subset, all listed endpoints count as in scope.
     *
     * @param usesSubset whether this relay uses a subset of the listed endpoints
     * @param changedUs when the list or the subset last changed, or -1 if it never has
     * @param tooLongLists how many lists were rejected because they were too long
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
     * @param endpointPool the connections to endpoints; those to an endpoint are closed when it leaves or is replaced
     *     by another process
     * @param zones the names of the zones, in the order of their indexes
     * @param instanceTypes the names of the instance types, in the order of their indexes
     * @param pollOnDemand whether polling begins only with {@link #startPolling} and stops after a failed poll, which
     *     is then reported to the decision engine
     * @param random adds jitter to the retry delays
     * @param subsetOptions the settings of the subset, or null to use all listed endpoints
     */
    public DiscoveryClient(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            InetSocketAddress address,
            EndpointAddresses addresses,
            ConnectionPool endpointPool,
            List<String> zones,
            List<String> instanceTypes,
            boolean pollOnDemand,
            RandomGenerator random,
            SubsetOptions subsetOptions) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.address = address;
        this.addresses = addresses;
        this.pollOnDemand = pollOnDemand;
        this.random = random;
        this.subsetOptions = subsetOptions;
        this.entryReader = new EndpointEntryReader(
                zones,
                instanceTypes,
                subsetOptions == null ? ServiceNameExtractor.SINGLE_SERVICE : subsetOptions.serviceNames);
        this.applier = new EndpointListApplier(
                eventLoop, addresses, endpointPool, subsetOptions == null ? null : subsetOptions.subset);
        this.failures = new ListFailureReporter(counters, subsetOptions != null);
    }

    /**
     * Applies the cached list and starts to poll, unless polling is on demand.
     *
     * @param admission receives the endpoints for its pools, or null if there is no versioned configuration
     * @param cachedList the last endpoint list that this relay received before it was restarted
     * @throws IOException if the cached list is malformed
     */
    public void start(DecisionEngine engine, Admission admission, JsonObject cachedList) throws IOException {
        List<EndpointEntry> entries = entryReader.readAll(cachedList, eventLoop.nowUs());
        long cachedIndex = subsetOptions == null ? 0 : cachedList.nonNegativeLongOr("index", 0);
        applier.start(engine, admission, entries, cachedIndex);
        if (!pollOnDemand) {
            startPolling();
        }
    }

    /**
     * Calls back once: when discovery has sent a list, or when a poll fails and the timeout since the first poll has
     * passed. Each poll still has its full timeout, so that a relay whose own event loop is delayed does not mistake
     * discovery for unresponsive.
     *
     * @param firstListTimeoutUs the time since the first poll after which a failed poll ends the wait
     */
    public void onFirstList(long firstListTimeoutUs, Runnable callback) {
        if (listReceived) {
            callback.run();
        } else {
            this.firstListTimeoutUs = firstListTimeoutUs;
            firstListCallback = callback;
        }
    }

    /** Sets the callback that is called after each failed poll. */
    public void onPollFailure(Runnable callback) {
        failureCallback = callback;
    }

    /** Starts to poll, unless polling is already in progress. */
    public void startPolling() {
        if (!polling) {
            polling = true;
            poll();
        }
    }

    /** Polls another address from now on, beginning with the full list. Responses from the old address are ignored. */
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

    /** Records the result of an attempt. An endpoint that no longer responds is replaced in the subset. */
    public void attemptEnded(String endpoint, AttemptResult result) {
        applier.attemptEnded(endpoint, result);
    }

    /** Returns the status of the endpoint list. */
    public ListStatus status() {
        if (subsetOptions == null) {
            int used = addresses.size();
            return new ListStatus(false, used, used, 1, index, applier.changedUs(), failures.tooLongCount());
        }
        EndpointSubset subset = subsetOptions.subset;
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
        String path = watch ? "/api/targets?from=" + index + "&hold_ms=" + LONG_POLL_HOLD_MS : "/api/targets";
        ByteBuffer request = StandardCharsets.US_ASCII.encode("GET " + path + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
        long firstByteUs = RESPONSE_GRACE_US + (watch ? LONG_POLL_HOLD_MS * 1000 : 0);
        if (subsetOptions == null) {
            connection = pool.send(
                    address,
                    request,
                    firstByteUs,
                    new BufferedListResponse(entryReader, eventLoop, applier, responseListener));
        } else {
            StreamedListResponse response = new StreamedListResponse(
                    !watch, subsetOptions.maxListBytes, entryReader, eventLoop, applier, responseListener);
            ResponseTimeouts timeouts = new ResponseTimeouts(
                    firstByteUs, StreamedListResponse.DATA_TIMEOUT_US, StreamedListResponse.TOTAL_TIMEOUT_US);
            connection = pool.send(address, request, timeouts, response, response);
        }
    }

    /**
     * Handles a poll that brought no usable list: polls again after a random delay between {@code delayUs} and twice as
     * much.
     */
    private void retryLater(String failure, long delayUs) {
        failureCallback.run();
        if (firstListCallback != null && eventLoop.nowUs() - firstPollUs >= firstListTimeoutUs) {
            failures.logServingConfiguredEndpoints(failure);
            notifyFirstList();
        }
        if (pollOnDemand) {
            polling = false;
            applier.pollFailed();
        } else {
            retryTimer = eventLoop.schedule(delayUs + random.nextLong(delayUs), this::poll);
        }
    }

    private void notifyFirstList() {
        if (firstListCallback != null) {
            eventLoop.execute(firstListCallback);
            firstListCallback = null;
        }
    }

    /** Updates the polling state after each poll. */
    private final class ResponseListener implements ListResponseListener {
        @Override
        public void accepted(long newIndex, boolean changed, Runnable apply) {
            failures.accepted();
            index = newIndex;
            // Sends the next watch before the list is applied, on the same connection. Discovery includes in its
            // response what changes in between.
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
            failures.logStatus(status());
        }

        @Override
        public void rejected(String reason) {
            failures.rejected(reason);
            retryLater("the endpoint list from discovery was rejected: " + reason, RETRY_DELAY_US);
        }

        @Override
        public void rejectedForUnexpectedType(String reason) {
            index = NO_INDEX;
            rejected(reason);
        }

        @Override
        public void tooLong(String reason) {
            failures.tooLong(reason);
            // The next poll requests the full list, which may be within the limit even if the changes are not.
            index = NO_INDEX;
            retryLater("discovery's list is too long", TOO_LONG_RETRY_DELAY_US);
        }

        @Override
        public void notReceived() {
            failures.notReceived();
            retryLater("discovery is silent", RETRY_DELAY_US);
        }
    }
}
