package gatelock.net;

import gatelock.state.UpstreamResponse;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads one HTTP/1.1 response from the pieces in which it arrives; the only place where a response's form is checked.
 *
 * <p>Guards against responses that are noise, truncated, endless or of two lengths, and rejects every response that
 * leaves open where it ends. It could do harm where a server ends its responses by closing their connection, or sends
 * heads longer than {@link #MAX_HEAD_BYTES}.
 */
public final class ResponseReader {
    /** The longest body, in bytes, that the protocol allows for requests and responses of endpoints. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** The longest head including that of 1xx responses before it, and the longest line after the head. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int MAX_LENGTH_DIGITS = 12;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?", Pattern.DOTALL);

    /** What is read next. */
    private enum Part {
        STATUS_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        COMPLETE
    }

    private final BodyConsumer consumer;
    private final int maxBodyBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    /** Names and values in turn. */
    private final List<String> headers = new ArrayList<>();

    private Part part = Part.STATUS_LINE;
    private int status;
    private boolean keepAlive;
    private int lineBytes;
    private long remainingBytes;

    /**
     * Creates the reader of one response.
     *
     * @param consumer receives the body as it arrives; null where the body is buffered
     * @param maxBodyBytes the longest body that is buffered
     */
    ResponseReader(BodyConsumer consumer, int maxBodyBytes) {
        this.consumer = consumer;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns whether all of the response has been read. */
    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** Returns whether the server keeps the connection open for another request. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Returns the response, once it is complete; its body is empty where it went to a consumer. */
    UpstreamResponse response() {
        return new UpstreamResponse(status, headers, body.toByteArray());
    }

    /**
     * Reads the next piece, up to the end of the response.
     *
     * @throws ResponseTooLongException where the body is longer than is buffered
     * @throws MalformedResponseException where the response is malformed
     */
    void read(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && part != Part.COMPLETE) {
            if (part == Part.BODY || part == Part.CHUNK) {
                readBody(in);
            } else {
                readLineByte(in.get());
            }
        }
    }

    private void readBody(ByteBuffer in) throws MalformedResponseException {
        byte[] piece = new byte[(int) Math.min(remainingBytes, in.remaining())];
        in.get(piece);
        if (consumer != null) {
            consumer.onBody(piece);
        } else {
            ResponseTooLongException.checkReceived(body.size() + (long) piece.length, maxBodyBytes);
            body.writeBytes(piece);
        }
        remainingBytes -= piece.length;
        if (remainingBytes == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.COMPLETE;
        }
    }

    private void readLineByte(byte b) throws MalformedResponseException {
        if (b == '\n') {
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            onLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
        } else if (lineBytes++ >= MAX_HEAD_BYTES) {
            throw new MalformedResponseException("head or line too long");
        } else {
            line.write(b);
        }
    }

    private void onLine(String text) throws MalformedResponseException {
        switch (part) {
            case STATUS_LINE -> onStatusLine(text);
            case HEADERS -> onHeaderLine(text);
            case CHUNK_SIZE -> onChunkSize(text);
            case CHUNK_END -> onChunkEnd(text);
            default -> part = text.isEmpty() ? Part.COMPLETE : Part.TRAILERS;
        }
    }

    private void onStatusLine(String text) throws MalformedResponseException {
        boolean matches = STATUS_LINE.matcher(text).matches();
        status = matches ? Integer.parseInt(text.substring(9, 12)) : 0;
        if (status < 100 || status == 101) {
            throw new MalformedResponseException("no status line, or another protocol");
        }
        keepAlive = text.charAt(7) == '1';
        part = Part.HEADERS;
    }

    private void onHeaderLine(String text) throws MalformedResponseException {
        if (text.isEmpty()) {
            onHeadersEnd();
            return;
        }
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("no header");
        }
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1).trim();
        // A header that the next reader could understand in another way is left out.
        if (name.chars().allMatch(c -> c > ' ' && c < 127) && value.chars().allMatch(c -> c >= ' ' && c != 127)) {
            headers.add(name);
            headers.add(value);
        }
    }

    private void onChunkSize(String text) throws MalformedResponseException {
        int extension = text.indexOf(';');
        String size = extension < 0 ? text : text.substring(0, extension).trim();
        remainingBytes = parseLength(size, HEXADECIMAL);
        if (consumer == null) {
            ResponseTooLongException.checkReceived(remainingBytes, maxBodyBytes);
        }
        lineBytes = 0;
        part = remainingBytes == 0 ? Part.TRAILERS : Part.CHUNK;
    }

    private void onChunkEnd(String text) throws MalformedResponseException {
        if (!text.isEmpty()) {
            throw new MalformedResponseException("chunk longer than its size");
        }
        part = Part.CHUNK_SIZE;
    }

    private void onHeadersEnd() throws MalformedResponseException {
        if (status < 200) {
            headers.clear();
            part = Part.STATUS_LINE;
            return;
        }
        lineBytes = 0;
        readConnectionHeader();
        boolean chunked = readFraming();
        if (consumer != null) {
            consumer.onHead(status, chunked ? -1 : remainingBytes);
        }
    }

    private void readConnectionHeader() throws MalformedResponseException {
        String connection = uniqueHeader("Connection");
        if (connection != null) {
            String options = connection.toLowerCase(Locale.ROOT);
            keepAlive = !options.contains("close") && (keepAlive || options.contains("keep-alive"));
        }
    }

    /** Finds out where the body ends; returns whether a transfer coding says that, and not its length. */
    private boolean readFraming() throws MalformedResponseException {
        String coding = uniqueHeader("Transfer-Encoding");
        String length = uniqueHeader("Content-Length");
        if (status == 204 || status == 304) {
            part = Part.COMPLETE;
        } else if ((coding == null) == (length == null)) {
            throw new MalformedResponseException("no length, or two");
        } else if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException("unknown coding");
            }
            part = Part.CHUNK_SIZE;
        } else {
            remainingBytes = parseLength(length, DECIMAL);
            if (consumer == null) {
                ResponseTooLongException.checkDeclared(remainingBytes, maxBodyBytes);
            }
            part = remainingBytes == 0 ? Part.COMPLETE : Part.BODY;
        }
        return coding != null;
    }

    /** Returns the value of a header that may be repeated only with the same value; null where it is absent. */
    private String uniqueHeader(String name) throws MalformedResponseException {
        String found = null;
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                String value = headers.get(i + 1);
                if (found != null && !found.equals(value)) {
                    throw new MalformedResponseException("two values of " + name);
                }
                found = value;
            }
        }
        return found;
    }

    /** Parses a length that consists of ASCII digits only. */
    private static long parseLength(String text, int radix) throws MalformedResponseException {
        boolean wellFormed = text.length() <= MAX_LENGTH_DIGITS
                && !text.isEmpty()
                && text.chars().allMatch(c -> c < 128 && Character.digit(c, radix) >= 0);
        if (!wellFormed) {
            throw new MalformedResponseException("expected a length, found " + text);
        }
        return Long.parseLong(text, radix);
    }
}
