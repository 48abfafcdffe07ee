package gatelock.state;

/**
 * The socket operations that {@link ClientConnections} needs.
 *
 * @param <C> the connection type
 */
public interface ClientSockets<C> {

    /**
     * Returns whether bytes have arrived that have not been read. If so, they must be the next ones to be read.
     *
     * @param connection an open connection
     * @return whether there are unread bytes; the end of the stream does not count
     */
    boolean hasUnreadBytes(C connection);

    /**
     * Closes a connection that {@link ClientConnections} has already removed.
     *
     * @param connection the connection
     * @param state its last state
     * @param reason why it is closed
     */
    void close(C connection, ClientConnectionState state, ClientCloseReason reason);
}
