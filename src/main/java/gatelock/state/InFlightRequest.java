package gatelock.state;

import gatelock.api.RequestHandle;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A request that was taken and is not settled yet. What goes on to an endpoint stays the bytes that came. */
public final class InFlightRequest {
    private final String id;
    private final byte[] head;
    private final byte[] body;
    private final long endUs;
    private final ResponseSink caller;
    private final List<Runnable> calledOff = new ArrayList<>(2);
    private RequestHandle handle;
    private boolean over;
    private Runnable whenOver;
    private Opening opening;

    /**
     * @param head first line and headers as an endpoint gets them, all but those that change with each attempt
     * @param endUs until when the caller waits
     */
    public InFlightRequest(String id, byte[] head, byte[] body, long endUs, ResponseSink caller) {
        this.id = id;
        this.head = head;
        this.body = body;
        this.endUs = endUs;
        this.caller = caller;
    }

    public String id() {
        return id;
    }

    public byte[] head() {
        return head;
    }

    public byte[] body() {
        return body;
    }

    public long endUs() {
        return endUs;
    }

    public ResponseSink caller() {
        return caller;
    }

    public RequestHandle handle() {
        return handle;
    }

    public void taken(RequestHandle handle) {
        this.handle = handle;
    }

    /** Whether the final answer is given or the caller has left. */
    public boolean over() {
        return over;
    }

    public void close() {
        over = true;
        if (whenOver != null) {
            whenOver.run();
            whenOver = null;
        }
    }

    /** How tries of a request go out that is no ordinary one. */
    public interface Opening {
        /** Makes one attempt at an endpoint; without an address it can't come to be connected. */
        void send(InetSocketAddress address, String endpoint, long timeoutUs);
    }

    /** Null for an ordinary request. */
    public Opening opening() {
        return opening;
    }

    public void opensBy(Opening opening) {
        this.opening = opening;
    }

    /** Takes over what is to be done once it is over; the request does it no more. May be null. */
    public Runnable takeWhenOver() {
        Runnable what = whenOver;
        whenOver = null;
        return what;
    }

    /** What is to be done once it has its answer or its caller left. */
    public void whenOver(Runnable what) {
        whenOver = what;
    }

    /** Whether the decisions have it: a request that waits for its limits is not theirs yet. */
    public boolean taken() {
        return handle != null;
    }

    /** Numbers a new try from 0 in the order sent; {@code callOff} gives it up. */
    public int addAttempt(Runnable callOff) {
        calledOff.add(callOff);
        return calledOff.size() - 1;
    }

    public Runnable callOff(int attemptNo) {
        return calledOff.get(attemptNo);
    }
}
