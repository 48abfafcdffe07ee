package gatelock.state;

/**
 * What {@link ClientConnections} needs of the connections themselves.
 *
 * @param <C> a connection
 */
public interface ClientSockets<C> {

    /**
     * Whether bytes have arrived that were not read yet. If so they must be the next to be read.
     *
     * @param connection an open connection
     * @return whether there are unread bytes; the end of the stream is none
     */
    boolean hasUnreadBytes(C connection);

    /**
     * Closes a connection, which {@link ClientConnections} has forgotten already.
     *
     * @param connection the connection
     * @param state its state until now
     * @param reason why it is closed
     */
    void close(C connection, ClientConnectionState state, ClientCloseReason reason);
}
