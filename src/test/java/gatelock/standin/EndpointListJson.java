package gatelock.standin;

import java.io.IOException;

/** Builds discovery's responses as JSON. */
public final class EndpointListJson {
    private EndpointListJson() {}

    /**
     * Returns an entry of a list.
     *
     * @param status status in discovery's format, such as {@code in_service}
     * @param build build number, which is sent as the image id
     */
    public static String entry(String name, FakeServer server, String status, int build) {
        return entry(name, server.address(), status, build);
    }

    /** Returns an entry of a list for an address. */
    public static String entry(String name, String address, String status, int build) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"status\":\"" + status
                + "\",\"since_ms\":0,\"image_id\":" + build + "}";
    }

    /** Returns a full list. */
    public static String snapshot(int index, String... entries) {
        return list(index, true, entries);
    }

    /** Returns a change of a list. */
    public static String delta(int index, String... entries) {
        return list(index, false, entries);
    }

    private static String list(int index, boolean snapshot, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                + "]}";
    }

    /** Answers a call with a full list of one endpoint that is in service. */
    public static void respondWithSingleEndpoint(HttpMessage call, int index, FakeServer endpoint) throws IOException {
        call.respond("200 OK", "", snapshot(index, entry("u" + index, endpoint, "in_service", 1)));
    }
}
