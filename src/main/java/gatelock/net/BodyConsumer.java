package gatelock.net;

/** Takes an answer's body piece by piece as it comes, so that nobody holds it whole. */
public interface BodyConsumer {

    /** The head has come; {@code bytes}: of the body, -1 where that is not told. */
    default void begins(int status, long bytes) throws MalformedResponseException {}

    /** The next piece, never empty. */
    void take(byte[] some) throws MalformedResponseException;
}
