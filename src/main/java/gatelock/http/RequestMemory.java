package gatelock.http;

import gatelock.state.MemoryBudget;

/** The memory that one client connection holds for its current request and the response to it. */
final class RequestMemory {
    /** The head is kept as text, as lines, as the header map of Undertow and as the bytes that are forwarded. */
    private static final int HEAD_COPIES = 6;
    /** The objects for one header line, beside its characters. */
    private static final int HEADER_LINE_BYTES = 400;
    /** The body is kept for retries, and each attempt has a copy of it. */
    private static final int BODY_COPIES = 2;

    private final MemoryBudget.Holder holder;
    private long headBytes;
    private long requestBytes;

    RequestMemory(MemoryBudget budget) {
        holder = budget.newHolder();
    }

    /** Holds the bytes of a head that is not complete; {@code refuse} ends it. Returns whether there is room. */
    boolean holdIncompleteHead(int capacity, Runnable refuse) {
        return holder.tryHold(capacity, refuse);
    }

    /** Holds a complete head in all of its forms. Returns whether there is room. */
    boolean holdHead(byte[] head) {
        int lines = 0;
        for (byte b : head) {
            if (b == '\n') {
                lines++;
            }
        }
        headBytes = (long) HEAD_COPIES * head.length + (long) HEADER_LINE_BYTES * lines;
        return holder.tryHold(headBytes, null);
    }

    /** Holds the head and the part of a body that has arrived; {@code refuse} ends the request. */
    boolean holdIncompleteBody(int capacity, Runnable refuse) {
        return holder.tryHold(headBytes + capacity, refuse);
    }

    /** Holds only the complete head, as the body is refused. */
    void holdOnlyHead() {
        holder.hold(headBytes, null);
    }

    /** Holds a complete request while it is in flight. Returns whether there is room. */
    boolean holdRequest(int bodyLength) {
        requestBytes = headBytes + (long) BODY_COPIES * bodyLength;
        return holder.tryHold(requestBytes, null);
    }

    /** Holds what has arrived of the response, beside the request in flight. Returns whether there is room. */
    boolean holdResponse(long bytes) {
        return holder.tryHold(requestBytes + bytes, null);
    }

    /** Holds only a complete response, as the request is not needed any more. */
    void holdOnlyResponse(int bytes) {
        holder.hold(bytes, null);
    }

    /** Holds nothing from now on. */
    void release() {
        headBytes = 0;
        requestBytes = 0;
        holder.release();
    }
}
