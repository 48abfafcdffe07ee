package gatelock.net;

import java.io.IOException;

/**
 * Thrown when a message of another service does not have the format that its protocol prescribes. No part of the
 * message may be used.
 */
public class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the log that says what is wrong. */
    public MalformedMessageException(String message) {
        super(message);
    }

    /** Creates an exception for a message that another parser has rejected. */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
