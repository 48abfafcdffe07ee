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
 * One poll of the control service: the latest version that this relay has accepted, and the result of the version that
 * it last received.
 *
 * @param relay this relay's name
 * @param heldVersion the latest version that this relay has accepted; null if there is none
 * @param nonce identifies the response that {@code lastResult} refers to
 * @param lastResult the result of the last version received; null if there is nothing to report
 * @param holdMs how long the service may hold the request open until it has a later version (long poll)
 */
record ConfigRequest(String relay, ConfigVersion heldVersion, String nonce, UpdateResult lastResult, long holdMs) {

    /** Returns the complete HTTP request, ready to be written. */
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
        if (heldVersion != null) {
            fields.put("epoch", heldVersion.epoch().toString());
            fields.put("version", heldVersion.number());
            fields.put("hash", heldVersion.hash());
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
            throw new IllegalStateException("a map of plain values can't be serialized to JSON", e);
        }
    }
}
