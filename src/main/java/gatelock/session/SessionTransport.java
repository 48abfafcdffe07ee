package gatelock.session;

/** The connections of one session, on which its decisions take effect. */
public interface SessionTransport {
    /**
     * Sends the only close frame that this side gets. Messages that are already on their way to it go first.
     *
     * @param code a code for which {@link CloseCodes#sendable} holds
     * @param reason at most 123 bytes, as a control frame has room for 125
     */
    void close(SessionSide side, int code, String reason);

    /** Ends the connection of a side without a close frame: the side has closed, or did not close in time. */
    void disconnect(SessionSide side);
}
