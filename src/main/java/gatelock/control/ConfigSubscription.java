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
 * The subscription to versions of the configuration: long polls of a control service, one after the other. Each
 * says which version this relay holds and what came of the one before, and waits for a later one.
 *
 * <p>The semantics are those of xDS, state of the world: version, nonce, ACK as the same request with the new
 * version, NACK with an error's detail, resumption by the version held. The framing is this project's own:
 * docs/design/versioned-configuration.md.
 */
public final class ConfigSubscription {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    /** How much longer than the hold a call may take before it counts as unanswered. */
    private static final long GRACE_US = 5_000_000;

    private static final int US_PER_MS = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_NO_CONTENT = 204;
    /** Of the failures in a row the first is logged, and the one after this many. */
    private static final int LOGGED_AGAIN_AFTER = 4;

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
    private long polledUs;
    private long lastHeardUs;
    private boolean stopped;
    /** The nonce of the response that came last, and what came of its version: the next poll reports both. */
    private String nonce = "";

    private UpdateResult lastResult;

    /**
     * Creates a subscription; {@link #start} begins to poll.
     *
     * @param pool connections to control services, with capacity for a complete version in a response
     * @param relay this relay's name
     * @param services addresses of control services, in the order in which they are tried
     * @param holdMs how long the service may hold a call until there is a later version
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

    /** Begins to poll. */
    public void start() {
        lastHeardUs = eventLoop.nowUs();
        poll();
    }

    /** Polls control services at other addresses from now on. */
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

    /** Ends the subscription; a version that is on its way is not applied. */
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

    /** When a control service last answered, or the subscription began, on the event loop's clock. */
    long lastHeardUs() {
        return lastHeardUs;
    }

    /** The address of the control service that is polled now. */
    InetSocketAddress service() {
        return services.get(serviceIndex);
    }

    /** How many polls in a row have failed. */
    int failures() {
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
        polledUs = eventLoop.nowUs();
        ConfigRequest request =
                new ConfigRequest(relay, updater.versions().latestAccepted(), nonce, lastResult, holdMs);
        InetSocketAddress service = service();
        connection = pool.send(service, request.toHttp(), holdMs * US_PER_MS + GRACE_US, new Poll(service));
    }

    /** Takes a response; returns whether it reads as one, so that the connection may be used again. */
    private boolean handleResponse(UpstreamResponse response) {
        lastHeardUs = eventLoop.nowUs();
        if (response.status() == HTTP_NO_CONTENT) {
            handleNoChange();
            return true;
        }
        if (response.status() != HTTP_OK) {
            fail("answer " + response.status());
            return false;
        }
        Optional<ConfigResponse> parsed = ConfigResponse.parse(response);
        if (parsed.isEmpty()) {
            fail("answer " + response.status() + " without epoch, version and nonce");
            return false;
        }
        ConfigResponse offered = parsed.get();
        nonce = offered.nonce();
        if (offered.damaged()) {
            fail("version " + offered.version() + " came damaged: its hash is another");
            return false;
        }
        updater.offer(offered.version(), response.body(), this::settle);
        return true;
    }

    private void handleNoChange() {
        lastResult = null;
        // A service that does not hold its calls is polled with a growing pause, not in a busy loop.
        boolean held = lastHeardUs - polledUs >= holdMs * US_PER_MS / 2;
        if (held) {
            backoff.reset();
        }
        pollIn(held ? 0 : backoff.nextDelayUs());
    }

    /** Reports what came of a version: at once where that is news, with a pause where it is not. */
    private void settle(UpdateResult result) {
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
        if (backoff.consecutiveFailures() == 0 || backoff.consecutiveFailures() == LOGGED_AGAIN_AFTER) {
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

    /** Receives the response to one poll. */
    private final class Poll implements OutboundConnection.ResponseHandler {
        private final InetSocketAddress service;
        private String unreadable;

        Poll(InetSocketAddress service) {
            this.service = service;
        }

        private boolean current() {
            return !stopped && services.contains(service) && service.equals(service());
        }

        @Override
        public boolean onResponse(UpstreamResponse response) {
            return current() && handleResponse(response);
        }

        @Override
        public void onConnectionLost(boolean written) {
            if (!current()) {
                return;
            }
            if (unreadable != null) {
                fail(unreadable);
            } else {
                fail(written ? "it broke off" : "it can't be reached");
            }
        }

        @Override
        public void onMalformedResponse(String why) {
            unreadable = why;
        }

        @Override
        public void onResponseTooLong(String why) {
            unreadable = "the version is larger than may be here: " + why;
        }

        @Override
        public void onTimeout() {
            if (current()) {
                fail("no answer in time");
            }
        }
    }
}
