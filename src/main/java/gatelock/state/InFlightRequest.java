package gatelock.state;

import gatelock.api.RequestHandle;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that was read and whose attempts have not all ended yet. Its body is forwarded to endpoints byte for
 * byte, its head without the headers that hold for the client's connection only.
 */
public final class InFlightRequest {
    private final String id;
    private final byte[] head;
    private final byte[] body;
    private final long deadlineUs;
    private final ResponseSink responseSink;
    private final List<Runnable> cancellations = new ArrayList<>(2);
    private RequestHandle handle;
    private boolean over;
    private Runnable completionAction;
    private AttemptLauncher attemptLauncher;

    /**
     * Creates a request that the decision engine does not know yet.
     *
     * @param id its id, unique among the requests in flight
     * @param head the request line and the headers as endpoints get them, without those that differ for each
     *     attempt and without the empty line at the end
     * @param body its body, which may be empty
     * @param deadlineUs until when the client waits
     * @param responseSink where the response goes
     */
    public InFlightRequest(String id, byte[] head, byte[] body, long deadlineUs, ResponseSink responseSink) {
        this.id = id;
        this.head = head;
        this.body = body;
        this.deadlineUs = deadlineUs;
        this.responseSink = responseSink;
    }

    /** The id that the client gave it. */
    public String id() {
        return id;
    }

    /** The request line and the headers, without those that differ for each attempt; not to be changed. */
    public byte[] head() {
        return head;
    }

    /** The body; not to be changed. */
    public byte[] body() {
        return body;
    }

    /** Until when the client waits, on the clock of the event loop. */
    public long deadlineUs() {
        return deadlineUs;
    }

    /** Where the one response goes. */
    public ResponseSink responseSink() {
        return responseSink;
    }

    /** The decision engine's handle, or null before {@link #accepted}. */
    public RequestHandle handle() {
        return handle;
    }

    /** Records that the decision engine has accepted the request. */
    public void accepted(RequestHandle handle) {
        this.handle = handle;
    }

    /** Whether the decision engine has accepted it; not yet while it waits in a queue before that. */
    public boolean isAccepted() {
        return handle != null;
    }

    /** Whether the final answer was given or the client has left. */
    public boolean isOver() {
        return over;
    }

    /** Marks the request as over and runs the action set for that. */
    void markOver() {
        over = true;
        if (completionAction != null) {
            completionAction.run();
            completionAction = null;
        }
    }

    /** Starts the attempts of a request that is not an ordinary HTTP exchange. */
    public interface AttemptLauncher {
        /**
         * Makes one attempt.
         *
         * @param address the endpoint's address; null if it is not known any more, so that the attempt ends as not
         *     connected
         * @param endpoint the endpoint's name
         * @param timeoutUs how long the attempt may take, in microseconds; 0 for as long as the request
         */
        void launch(InetSocketAddress address, String endpoint, long timeoutUs);
    }

    /** What starts its attempts; null for an ordinary request. */
    public AttemptLauncher attemptLauncher() {
        return attemptLauncher;
    }

    /** Has all of its attempts started by this. */
    public void setAttemptLauncher(AttemptLauncher attemptLauncher) {
        this.attemptLauncher = attemptLauncher;
    }

    /** Removes and returns the action set for the end of the request, which the caller now has to run; may be null. */
    public Runnable takeCompletionAction() {
        Runnable action = completionAction;
        completionAction = null;
        return action;
    }

    /** Sets the action that runs once the request is over. */
    public void onOver(Runnable action) {
        completionAction = action;
    }

    /**
     * Registers an attempt.
     *
     * @param cancellation cancels it
     * @return its number, from 0 in the order sent
     */
    public int addAttempt(Runnable cancellation) {
        cancellations.add(cancellation);
        return cancellations.size() - 1;
    }

    /** Cancels an attempt; without effect if it has ended. */
    public void cancelAttempt(int attemptNo) {
        cancellations.get(attemptNo).run();
    }
}
