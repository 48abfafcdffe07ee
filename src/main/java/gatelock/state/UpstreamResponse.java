package gatelock.state;

import java.util.List;

/** An answer as it came, held whole; header names and values alternate. */
public record UpstreamResponse(int status, List<String> headers, byte[] body) {

    /** The first value of a header, or null. */
    public String header(String name) {
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                return headers.get(i + 1);
            }
        }
        return null;
    }
}
