package gatelock.session;

/** Close codes of RFC 6455, 7.4. */
public final class CloseCodes {
    /** The session ended as intended. */
    public static final int NORMAL = 1000;
    /** The peer violated the protocol. */
    public static final int PROTOCOL_ERROR = 1002;
    /** Stands for a close frame without a code; never sent. */
    public static final int NO_STATUS = 1005;

    private CloseCodes() {}

    /** Returns whether a code may stand in a close frame (RFC 6455, 7.4.1 and 7.4.2). */
    public static boolean sendable(int code) {
        return (code >= 1000 && code <= 1003) || (code >= 1007 && code <= 1014) || (code >= 3000 && code <= 4999);
    }

    /** Returns the code that is sent in answer to a received one: the same where it may be sent. */
    static int answerTo(int code) {
        if (sendable(code)) {
            return code;
        }
        return code == NO_STATUS ? NORMAL : PROTOCOL_ERROR;
    }
}
