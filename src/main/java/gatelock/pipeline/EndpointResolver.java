package gatelock.pipeline;

import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequest;

import java.net.InetSocketAddress;

/** Third stage: the unit that was decided on becomes an address. */
public final class EndpointResolver {
    private final EndpointAddresses addresses;
    private final AttemptSender sendOff;

    public EndpointResolver(EndpointAddresses addresses, AttemptSender sendOff) {
        this.addresses = addresses;
        this.sendOff = sendOff;
    }

    void send(InFlightRequest req, String unit, long timeoutUs) {
        EndpointAddresses.Place place = addresses.get(unit);
        InetSocketAddress address = place == null ? null : place.address();
        if (req.opening() != null) {
            req.opening().send(address, unit, timeoutUs);
        } else {
            sendOff.send(req, unit, address, timeoutUs);
        }
    }
}
