package gatelock.state;

import java.util.List;

/**
 * A complete response as an endpoint sent it.
 *
 * @param status its status code
 * @param headers names and values in turn, in the order in which they came
 * @param body its body, not to be changed
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are forwarded without a copy; responses are never compared.
public record UpstreamResponse(int status, List<String> headers, byte[] body) {

    /**
     * The first value of a header.
     *
     * @param name its name, in any case
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
