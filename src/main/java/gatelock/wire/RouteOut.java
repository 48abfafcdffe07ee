package gatelock.wire;

import gatelock.kept.Addresses;
import gatelock.kept.OpenReq;

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
        sendOff.send(req, place == null ? null : place.address(), timeoutUs);
    }
}
