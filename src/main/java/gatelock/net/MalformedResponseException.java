package gatelock.net;

/** What came back does not read as HTTP, or as what was asked for. */
public class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedResponseException(String message) {
        super(message);
    }
}
