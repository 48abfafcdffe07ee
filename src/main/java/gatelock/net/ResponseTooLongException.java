package gatelock.net;

/** The body of a response, or the part of it that has arrived, is longer than is accepted. */
public final class ResponseTooLongException extends MalformedResponseException {
    private static final long serialVersionUID = 1L;

    private ResponseTooLongException(String length, long maxBytes) {
        super("body of " + length + " bytes is longer than " + maxBytes);
    }

    /** Throws where a body whose length has been declared is longer than the limit, in bytes. */
    public static void checkDeclared(long declaredBytes, long maxBytes) throws ResponseTooLongException {
        if (declaredBytes > maxBytes) {
            throw new ResponseTooLongException(Long.toString(declaredBytes), maxBytes);
        }
    }

    /** Throws where the part of a body that is known so far is longer than the limit, in bytes. */
    public static void checkReceived(long bytesSoFar, long maxBytes) throws ResponseTooLongException {
        if (bytesSoFar > maxBytes) {
            throw new ResponseTooLongException("at least " + bytesSoFar, maxBytes);
        }
    }
}
