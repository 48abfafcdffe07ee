package gatelock.control;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.config.ConfigVersion;
import gatelock.config.Diagnostic;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One poll of the control service: which version this relay holds, and what came of the one it was sent last.
 *
 * @param relay this relay's name
 * @param held the version that this relay holds; null where it has none
 * @param nonce names the response that {@code lastResult} is about
 * @param lastResult what came of the version that was sent last; null where there is nothing to report
 * @param holdMs how long the service may hold the call until it has a later version
 */
record ConfigRequest(String relay, ConfigVersion held, String nonce, UpdateResult lastResult, long holdMs) {

    /** The whole HTTP request, ready to be written. */
    ByteBuffer toHttp() {
        byte[] body = toJson();
        String header = "POST /v1/plans HTTP/1.1\r\nHost: control\r\nContent-Type: "
                + "application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        byte[] headerBytes = header.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(headerBytes.length + body.length)
                .put(headerBytes)
                .put(body)
                .flip();
    }

    private byte[] toJson() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("relay", relay);
        if (held != null) {
            fields.put("epoch", held.epoch().toString());
            fields.put("version", held.number());
            fields.put("hash", held.hash());
        }
        if (lastResult != null) {
            fields.put("nonce", nonce);
            fields.put("accepted", lastResult.accepted());
            fields.put("answer", lastResult.answer());
            if (!lastResult.diagnostics().isEmpty()) {
                fields.put(
                        "findings",
                        lastResult.diagnostics().stream()
                                .map(Diagnostic::toJsonFields)
                                .toList());
            }
        }
        fields.put("hold_ms", holdMs);
        try {
            return JSON.std.asBytes(fields);
        } catch (IOException e) {
            throw new IllegalStateException("plain values are always JSON", e);
        }
    }
}
