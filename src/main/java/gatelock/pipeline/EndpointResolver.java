package gatelock.pipeline;

import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequest;
import java.net.InetSocketAddress;

/** Third stage: the endpoint that was decided on becomes an address. */
public final class EndpointResolver {
    private final EndpointAddresses addresses;
    private final AttemptSender sendOff;

    public EndpointResolver(EndpointAddresses addresses, AttemptSender sendOff) {
        this.addresses = addresses;
        this.sendOff = sendOff;
    }

    void send(InFlightRequest request, String endpoint, long timeoutUs) {
        EndpointAddresses.Place place = addresses.get(endpoint);
        InetSocketAddress address = place == null ? null : place.address();
        if (request.opening() != null) {
            request.opening().send(address, endpoint, timeoutUs);
        } else {
            sendOff.send(request, endpoint, address, timeoutUs);
        }
    }
}
