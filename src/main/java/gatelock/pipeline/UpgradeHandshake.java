package gatelock.pipeline;

import gatelock.state.UpstreamResponse;
import org.xnio.StreamConnection;

/** An attempt that asks an endpoint to switch its connection to another protocol. */
public interface UpgradeHandshake {
    /** Returns the request headers of this handshake, each with its line end. */
    String headers();

    /**
     * Takes over the connection of an endpoint that has switched protocols.
     *
     * @param response the response of the endpoint, with status 101
     * @param connection the connection, which the callee closes if it does not accept the response
     * @return whether the response completes the handshake
     */
    boolean complete(UpstreamResponse response, StreamConnection connection);
}
