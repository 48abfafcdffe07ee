package gatelock.state;

import java.util.List;

/**
 * A complete response from an endpoint.
 *
 * @param status its status code
 * @param headers alternating names and values, in the order received
 * @param body its body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // The body is forwarded without a copy, and responses are never compared.
public record UpstreamResponse(int status, List<String> headers, byte[] body) {

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header, case-insensitive
     * @return the value, or null if there is no such header
     */
    public String header(String name) {
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                return headers.get(i + 1);
            }
        }
        return null;
    }
}
