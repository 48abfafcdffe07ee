package gatelock.control;

import gatelock.config.Backoff;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.LogField;
import gatelock.state.UpstreamResponse;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.xnio.XnioExecutor;

/**
 * The subscription to versions of the configuration: successive long polls of a control service. Each poll reports the
 * version that this relay holds and the result of the version received before, and waits for a later version.
 *
 * <p>The semantics follow the state-of-the-world variant of xDS: responses carry a version and a nonce, an ACK is the
 * next request with the new version, a NACK carries error details, and a relay resumes from the version it holds. The
 * message format is specific to this project; see docs/design/versioned-configuration.md.
 */
public final class ConfigSubscription {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    /** How much longer than the hold time a poll may take before it times out. */
    private static final long RESPONSE_GRACE_US = 5_000_000;

    private static final int US_PER_MS = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_NO_CONTENT = 204;
    /** Of consecutive failures, the first is logged, and then only the one that follows this many failures. */
    private static final int FAILURES_BEFORE_SECOND_LOG = 4;

    private final EventLoop eventLoop;
    private final Counters counters;
    private final ConnectionPool pool;
    private final ConfigUpdater updater;
    private final Backoff backoff;
    private final String relay;
    private final long holdMs;
    private List<InetSocketAddress> services;
    private int serviceIndex;
    private OutboundConnection connection;
    private XnioExecutor.Key nextPoll;
    private long lastPollUs;
    private long lastResponseUs;
    private boolean stopped;
    /** The nonce of the last response; the next poll reports it together with the result of that response's version. */
    private String nonce = "";

    private UpdateResult lastResult;

    /**
     * Creates a subscription; {@link #start} begins polling.
     *
     * @param eventLoop runs all of the subscription's code
     * @param counters counts failed polls
     * @param pool connections to control services; must accept responses that contain a complete version
     * @param updater receives the versions and provides the latest accepted one
     * @param backoff determines the delay after a poll that failed or had no new result
     * @param relay this relay's name
     * @param services addresses of control services, in the order in which they are tried
     * @param holdMs how long the service may hold a poll open until there is a later version
     */
    public ConfigSubscription(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            ConfigUpdater updater,
            Backoff backoff,
            String relay,
            List<InetSocketAddress> services,
            long holdMs) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.pool = pool;
        this.updater = updater;
        this.backoff = backoff;
        this.relay = relay;
        this.services = services;
        this.holdMs = holdMs;
    }

    /** Starts polling. */
    public void start() {
        lastResponseUs = eventLoop.nowUs();
        poll();
    }

    /** Replaces the addresses of the control services; a poll in progress is aborted and restarted. */
    public void setServices(List<InetSocketAddress> addresses) {
        if (addresses.equals(services)) {
            return;
        }
        services = addresses;
        serviceIndex = 0;
        if (connection != null) {
            connection.abort();
            connection = null;
            pollIn(0);
        }
    }

    /** Ends the subscription; a response that has not arrived yet is discarded. */
    public void stop() {
        stopped = true;
        if (connection != null) {
            connection.abort();
        }
        if (nextPoll != null) {
            nextPoll.remove();
        }
        pool.shutdown();
    }

    /** Returns when a control service last responded, or else when polling started, on the event loop's clock. */
    long lastResponseUs() {
        return lastResponseUs;
    }

    /** Returns the address of the control service that is currently polled. */
    InetSocketAddress service() {
        return services.get(serviceIndex);
    }

    /** Returns the number of consecutive polls that failed or had to be delayed. */
    int consecutiveFailures() {
        return backoff.consecutiveFailures();
    }

    private void pollIn(long delayUs) {
        if (stopped) {
            return;
        }
        if (nextPoll != null) {
            nextPoll.remove();
        }
        nextPoll = eventLoop.schedule(delayUs, this::poll);
    }

    private void poll() {
        if (stopped) {
            return;
        }
        nextPoll = null;
        lastPollUs = eventLoop.nowUs();
        ConfigRequest request =
                new ConfigRequest(relay, updater.versions().latestAccepted(), nonce, lastResult, holdMs);
        InetSocketAddress service = service();
        connection = pool.send(service, request.toHttp(), holdMs * US_PER_MS + RESPONSE_GRACE_US, new Poll(service));
    }

    /** Handles a response; returns whether it has the expected content, so that the connection may be reused. */
    private boolean handleResponse(UpstreamResponse response) {
        lastResponseUs = eventLoop.nowUs();
        if (response.status() == HTTP_NO_CONTENT) {
            handleNoChange();
            return true;
        }
        if (response.status() != HTTP_OK) {
            fail("responded with status " + response.status());
            return false;
        }
        Optional<ConfigResponse> parsed = ConfigResponse.parse(response);
        if (parsed.isEmpty()) {
            fail("responded with status " + response.status() + " without a valid epoch, version and nonce");
            return false;
        }
        ConfigResponse offered = parsed.get();
        nonce = offered.nonce();
        if (offered.isDamaged()) {
            fail("version " + offered.version() + " is corrupted: its hash does not match the hash sent with it");
            return false;
        }
        updater.offer(offered.version(), response.body(), this::handleResult);
        return true;
    }

    private void handleNoChange() {
        lastResult = null;
        // A service that does not hold polls open is polled with an increasing delay instead of in a busy loop.
        boolean held = lastResponseUs - lastPollUs >= holdMs * US_PER_MS / 2;
        if (held) {
            backoff.reset();
        }
        pollIn(held ? 0 : backoff.nextDelayUs());
    }

    /** Reports the result of a version in the next poll: immediately if the result is new, otherwise after a delay. */
    private void handleResult(UpdateResult result) {
        lastResult = result;
        if (result.isNew()) {
            backoff.reset();
            pollIn(0);
        } else {
            pollIn(backoff.nextDelayUs());
        }
    }

    private void fail(String reason) {
        counters.increment("control failed");
        if (backoff.consecutiveFailures() == 0 || backoff.consecutiveFailures() == FAILURES_BEFORE_SECOND_LOG) {
            LOG.log(
                    Level.WARNING,
                    "control service {0}: {1}; {2} stays in force",
                    LogField.of("service", service()),
                    LogField.of("reason", reason),
                    LogField.of("version", updater.versions().active()));
        }
        serviceIndex = (serviceIndex + 1) % services.size();
        pollIn(backoff.nextDelayUs());
    }

    /** Handles the response to one poll. */
    private final class Poll implements OutboundConnection.ResponseHandler {
        private final InetSocketAddress service;
        private String responseError;

        /** Creates a handler for a poll of the given control service. */
        Poll(InetSocketAddress service) {
            this.service = service;
        }

        /** Returns whether the polled service is still the current one; other polls were superseded and are ignored. */
        private boolean isCurrent() {
            return !stopped && services.contains(service) && service.equals(service());
        }

        @Override
        public boolean onResponse(UpstreamResponse response) {
            return isCurrent() && handleResponse(response);
        }

        @Override
        public void onConnectionLost(boolean written) {
            if (!isCurrent()) {
                return;
            }
            if (responseError != null) {
                fail(responseError);
            } else {
                fail(written ? "the connection was lost before a complete response" : "the request could not be sent");
            }
        }

        @Override
        public void onMalformedResponse(String reason) {
            responseError = reason;
        }

        @Override
        public void onResponseTooLong(String reason) {
            responseError = "the version is larger than allowed: " + reason;
        }

        @Override
        public void onTimeout() {
            if (isCurrent()) {
                fail("no response in time");
            }
        }
    }
}
