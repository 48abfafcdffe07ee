package gatelock.net;

/** Thrown when a response is not well-formed HTTP or not the expected response. */
public class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the log that says what is wrong. */
    public MalformedResponseException(String message) {
        super(message);
    }

    /** Creates an exception for a response whose body was rejected. */
    public MalformedResponseException(String message, Throwable cause) {
        super(message, cause);
    }
}
