package gatelock.wire;

import gatelock.kept.Addresses;
import gatelock.kept.OpenReq;

import java.net.InetSocketAddress;

/** Third stage: the unit that was decided on becomes an address. */
public final class RouteOut {
    private final Addresses addresses;
    private final SendOff sendOff;

    public RouteOut(Addresses addresses, SendOff sendOff) {
        this.addresses = addresses;
        this.sendOff = sendOff;
    }

    void send(OpenReq req, String unit, long timeoutUs) {
        Addresses.Place place = addresses.get(unit);
        InetSocketAddress address = place == null ? null : place.address();
        if (req.opening() != null) {
            req.opening().send(address, unit, timeoutUs);
        } else {
            sendOff.send(req, unit, address, timeoutUs);
        }
    }
}
