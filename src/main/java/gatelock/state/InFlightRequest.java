package gatelock.state;

import gatelock.api.RequestHandle;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that has been read and whose attempts have not all ended. Its body is forwarded to endpoints byte for
 * byte; its head is forwarded without the headers that apply only to the client's connection.
 */
public final class InFlightRequest {
    private final String id;
    private final byte[] head;
    private final byte[] body;
    private final long deadlineUs;
    private final ResponseSink responseSink;
    private final List<Runnable> cancellations = new ArrayList<>(2);
    private RequestHandle handle;
    private boolean completed;
    private Runnable completionAction;
    private AttemptLauncher attemptLauncher;

    /**
     * Creates a request that the decision engine has not accepted yet.
     *
     * @param id its id, unique among the requests in flight
     * @param head the request line and the headers as they are sent to endpoints, without the headers that differ for
     *     each attempt and without the empty line at the end
     * @param body its body, which may be empty
     * @param deadlineUs the time until which the client waits, on the clock of the event loop
     * @param responseSink receives the response
     */
    public InFlightRequest(String id, byte[] head, byte[] body, long deadlineUs, ResponseSink responseSink) {
        this.id = id;
        this.head = head;
        this.body = body;
        this.deadlineUs = deadlineUs;
        this.responseSink = responseSink;
    }

    /** Returns the id that the client gave the request. */
    public String id() {
        return id;
    }

    /** Returns the request line and the headers, without those that differ for each attempt; must not be modified. */
    public byte[] head() {
        return head;
    }

    /** Returns the body; must not be modified. */
    public byte[] body() {
        return body;
    }

    /** Returns the time until which the client waits, on the clock of the event loop. */
    public long deadlineUs() {
        return deadlineUs;
    }

    /** Returns the sink that receives the single response. */
    public ResponseSink responseSink() {
        return responseSink;
    }

    /** Returns the decision engine's handle, or null before {@link #markAccepted}. */
    public RequestHandle handle() {
        return handle;
    }

    /** Records that the decision engine has accepted the request. */
    public void markAccepted(RequestHandle handle) {
        this.handle = handle;
    }

    /** Returns whether the decision engine has accepted the request; false while it waits in a queue before that. */
    public boolean isAccepted() {
        return handle != null;
    }

    /** Returns whether the request has its final answer or the client has disconnected. */
    public boolean isCompleted() {
        return completed;
    }

    /** Marks the request as completed. The caller then runs the completion action. */
    void markCompleted() {
        completed = true;
    }

    /** Runs the completion actions that have neither run nor been taken. */
    public void runCompletionAction() {
        Runnable action = takeCompletionAction();
        if (action != null) {
            action.run();
        }
    }

    /** Starts the attempts of a request that is not an ordinary HTTP exchange, such as a WebSocket handshake. */
    public interface AttemptLauncher {
        /**
         * Starts one attempt.
         *
         * @param address the endpoint's address; null if the endpoint is no longer listed, in which case the attempt
         *     ends as not connected
         * @param endpoint the endpoint's name
         * @param timeoutUs the timeout of the attempt, in microseconds; 0 to use the deadline of the request
         */
        void launch(InetSocketAddress address, String endpoint, long timeoutUs);
    }

    /** Returns the launcher of the request's attempts, or null for an ordinary HTTP request. */
    public AttemptLauncher attemptLauncher() {
        return attemptLauncher;
    }

    /** Sets the launcher of all attempts of this request. */
    public void setAttemptLauncher(AttemptLauncher attemptLauncher) {
        this.attemptLauncher = attemptLauncher;
    }

    /** Removes and returns all completion actions as one, which the caller then has to run; null if there is none. */
    public Runnable takeCompletionAction() {
        Runnable action = completionAction;
        completionAction = null;
        return action;
    }

    /** Adds an action that runs once the request is completed, after those that were added before. */
    public void onCompleted(Runnable action) {
        Runnable earlier = completionAction;
        completionAction = earlier == null ? action : () -> runBoth(earlier, action);
    }

    private static void runBoth(Runnable first, Runnable second) {
        try {
            first.run();
        } finally {
            second.run();
        }
    }

    /**
     * Registers an attempt.
     *
     * @param cancellation cancels the attempt; has no effect once it has ended
     * @return the number of the attempt, from 0 in the order in which attempts are sent
     */
    public int addAttempt(Runnable cancellation) {
        cancellations.add(cancellation);
        return cancellations.size() - 1;
    }

    /** Returns whether any attempt was registered. */
    boolean hasAttempts() {
        return !cancellations.isEmpty();
    }

    /** Cancels an attempt; has no effect if it has ended. */
    public void cancelAttempt(int attemptNo) {
        cancellations.get(attemptNo).run();
    }
}
