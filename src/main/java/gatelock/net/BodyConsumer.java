package gatelock.net;

/** Receives the body of a response incrementally as it arrives, so that it is never buffered as a whole. */
public interface BodyConsumer {

    /**
     * Called once, when the head of the response has arrived.
     *
     * @param status the status code
     * @param contentLength the length of the body in bytes, or -1 if the head does not declare it
     * @throws MalformedResponseException if this is not the expected response; the connection is then closed
     */
    default void onHead(int status, long contentLength) throws MalformedResponseException {}

    /**
     * Called with the next part of the body, which is never empty.
     *
     * @throws MalformedResponseException if the body is not as expected; the connection is then closed
     */
    void onBody(byte[] data) throws MalformedResponseException;
}
