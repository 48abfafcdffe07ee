package gatelock.net;

/** Thrown when the body of a response, or the part of it that has arrived, exceeds the size limit. */
public final class ResponseTooLongException extends MalformedResponseException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a response of which no more can be buffered. */
    ResponseTooLongException(long bufferedBytes) {
        super("no memory for a body of at least " + bufferedBytes + " bytes");
    }

    private ResponseTooLongException(String length, long maxBytes) {
        super("body of " + length + " bytes is longer than " + maxBytes);
    }

    /** Throws an exception if the declared length of a body exceeds the limit, in bytes. */
    public static void checkDeclared(long declaredBytes, long maxBytes) throws ResponseTooLongException {
        if (declaredBytes > maxBytes) {
            throw new ResponseTooLongException(Long.toString(declaredBytes), maxBytes);
        }
    }

    /** Throws an exception if the known part of a body exceeds the limit, in bytes. */
    public static void checkReceived(long bytesSoFar, long maxBytes) throws ResponseTooLongException {
        if (bytesSoFar > maxBytes) {
            throw new ResponseTooLongException("at least " + bytesSoFar, maxBytes);
        }
    }
}
