package gatelock.session;

/** The connections of one session, which carry out its decisions. */
public interface SessionTransport {
    /**
     * Sends a close frame to a side, after any messages that are already being written to it. Called at most once per
     * side.
     *
     * @param code the close code; {@link CloseCodes#isSendable} is true for it
     * @param reason the reason text of at most 123 bytes, because a control frame holds 125 bytes including the code
     */
    void close(SessionSide side, int code, String reason);

    /** Ends the connection of a side that has sent a close frame or did not answer one in time. */
    void disconnect(SessionSide side);
}
