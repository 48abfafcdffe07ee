package gatelock.net;

/** The body that comes back, or a part of it, is longer than is taken here. */
public final class ResponseTooLongException extends MalformedResponseException {
    private static final long serialVersionUID = 1L;

    /**
     * @param bytes of the body, in words where only a part of it is known
     * @param most that a body may have, in bytes
     */
    public ResponseTooLongException(String bytes, long most) {
        super("body of " + bytes + " bytes is longer than " + most);
    }
}
