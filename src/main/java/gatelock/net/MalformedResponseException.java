package gatelock.net;

/** A response is not well-formed HTTP, or not the kind of response that was asked for. */
public class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what is wrong, for the log. */
    public MalformedResponseException(String message) {
        super(message);
    }

    /** Creates an exception for a response whose body was rejected. */
    public MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
