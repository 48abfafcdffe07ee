package gatelock.pipeline;

import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequest;
import java.net.InetSocketAddress;

/** Third stage: looks up the address of the chosen endpoint. */
public final class EndpointResolver {
    private final EndpointAddresses addresses;
    private final AttemptSender attemptSender;

    /**
     * Creates the stage.
     *
     * @param addresses the addresses of the endpoints
     * @param attemptSender sends the attempts of ordinary requests
     */
    public EndpointResolver(EndpointAddresses addresses, AttemptSender attemptSender) {
        this.addresses = addresses;
        this.attemptSender = attemptSender;
    }

    /** Starts an attempt. If the endpoint is not listed any more, the attempt ends as not connected. */
    void send(InFlightRequest request, String endpoint, long timeoutUs) {
        EndpointAddresses.Entry entry = addresses.get(endpoint);
        InetSocketAddress address = entry == null ? null : entry.address();
        if (request.attemptLauncher() != null) {
            request.attemptLauncher().launch(address, endpoint, timeoutUs);
        } else {
            attemptSender.send(request, endpoint, address, timeoutUs);
        }
    }
}
