package gatelock.session;

/** WebSocket close codes (RFC 6455, 7.4). */
public final class CloseCodes {
    /** The session ended as intended. */
    public static final int NORMAL = 1000;
    /** The peer violated the protocol. */
    public static final int PROTOCOL_ERROR = 1002;
    /** Represents a close frame without a code; never sent. */
    public static final int NO_STATUS = 1005;

    private CloseCodes() {}

    /** Returns whether a close frame may contain this code (RFC 6455, 7.4.1 and 7.4.2). */
    public static boolean isSendable(int code) {
        return (code >= 1000 && code <= 1003) || (code >= 1007 && code <= 1014) || (code >= 3000 && code <= 4999);
    }

    /**
     * Returns the code with which a received close frame is answered: the received code if it may be sent,
     * {@link #NORMAL} if the frame had none, and {@link #PROTOCOL_ERROR} otherwise.
     */
    static int replyTo(int code) {
        if (isSendable(code)) {
            return code;
        }
        return code == NO_STATUS ? NORMAL : PROTOCOL_ERROR;
    }
}
