package gatelock.net;

import java.io.IOException;

/** A message of another service does not have the form that its protocol prescribes; nothing of it is to be used. */
public class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what was expected, for the log. */
    public MalformedMessageException(String message) {
        super(message);
    }

    /** Creates an exception for a message that another reader has rejected. */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
