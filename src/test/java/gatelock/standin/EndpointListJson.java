package gatelock.standin;

import java.io.IOException;

/** Discovery's answers. */
public final class EndpointListJson {
    private EndpointListJson() {}

    /** Returns an entry; status is a word of discovery's, such as {@code in_service}, and the build its image id. */
    public static String entry(String name, FakeServer server, String status, int build) {
        return entry(name, server.address(), status, build);
    }

    /** Returns an entry for an address. */
    public static String entry(String name, String address, String status, int build) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"status\":\"" + status
                + "\",\"since_ms\":0,\"image_id\":" + build + "}";
    }

    /** Returns a whole list. */
    public static String snapshot(int index, String... entries) {
        return list(index, true, entries);
    }

    /** Returns a change of the list. */
    public static String delta(int index, String... entries) {
        return list(index, false, entries);
    }

    private static String list(int index, boolean snapshot, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                + "]}";
    }

    /** Answers a call with a whole list of one endpoint in service. */
    public static void listOnly(HttpMessage call, int index, FakeServer endpoint) throws IOException {
        call.respond("200 OK", "", snapshot(index, entry("u" + index, endpoint, "in_service", 1)));
    }
}
