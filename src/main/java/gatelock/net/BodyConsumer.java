package gatelock.net;

/** Receives the body of a response piece by piece as it arrives, so that it is never buffered as a whole. */
public interface BodyConsumer {

    /**
     * Called once, when the head of the response has arrived.
     *
     * @param contentLength the length of the body in bytes, -1 where the head does not say it
     * @throws MalformedResponseException where this is not the expected response; its connection is closed
     */
    default void onHead(int status, long contentLength) throws MalformedResponseException {}

    /**
     * Called with the next piece of the body, which is never empty.
     *
     * @throws MalformedResponseException where the body is not as expected; its connection is closed
     */
    void onBody(byte[] piece) throws MalformedResponseException;
}
