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
 * Parses one HTTP/1.1 response incrementally. The format of responses is validated only here.
 *
 * <p>Rejects data that is not HTTP, endless heads, conflicting lengths, and any response whose end is ambiguous; a
 * truncated response never becomes complete. As a consequence, servers that mark the end of a response by closing the
 * connection, or that send heads longer than {@link #MAX_HEAD_BYTES}, are not supported.
 */
public final class ResponseReader {
    /**
     * The maximum length of a body, in bytes, that the protocol allows for requests to and responses from endpoints.
     */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** The maximum length of the head, including those of preceding 1xx responses, and of each line after the head. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int MAX_LENGTH_DIGITS = 12;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?", Pattern.DOTALL);

    /** The part of the response that is read next. */
    private enum State {
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
    private final boolean acceptsUpgrade;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    /** The names and values of the headers, alternating. */
    private final List<String> headers = new ArrayList<>();

    private State state = State.STATUS_LINE;
    private int status;
    private boolean keepAlive;
    private int lineBytes;
    private long remainingBytes;

    /**
     * Creates the reader of one response.
     *
     * @param consumer receives the body as it arrives, or null to buffer it
     * @param maxBodyBytes the maximum length of a body that is buffered
     * @param acceptsUpgrade whether the response may be a switch to another protocol; if not, such a response is
     *     malformed
     */
    ResponseReader(BodyConsumer consumer, int maxBodyBytes, boolean acceptsUpgrade) {
        this.consumer = consumer;
        this.maxBodyBytes = maxBodyBytes;
        this.acceptsUpgrade = acceptsUpgrade;
    }

    /** Returns whether the response has been read completely. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns whether the server keeps the connection open for another request. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Returns the length of the part of the body that is buffered. */
    int bufferedBytes() {
        return body.size();
    }

    /**
     * Returns whether the complete response is a switch to another protocol. What follows it belongs to that protocol.
     */
    boolean isUpgrade() {
        return isComplete() && status == SWITCHING_PROTOCOLS;
    }

    /** Returns the response, once it is complete. Its body is empty if it was passed to a consumer. */
    UpstreamResponse response() {
        return new UpstreamResponse(status, headers, body.toByteArray());
    }

    /**
     * Parses the next data, up to the end of the response.
     *
     * @throws ResponseTooLongException if the body exceeds the limit for buffered bodies
     * @throws MalformedResponseException if the response is malformed
     */
    void read(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && state != State.COMPLETE) {
            if (state == State.BODY || state == State.CHUNK) {
                readBody(in);
            } else {
                readLineByte(in.get());
            }
        }
    }

    private void readBody(ByteBuffer in) throws MalformedResponseException {
        byte[] data = new byte[(int) Math.min(remainingBytes, in.remaining())];
        in.get(data);
        if (consumer != null) {
            consumer.onBody(data);
        } else {
            ResponseTooLongException.checkReceived(body.size() + (long) data.length, maxBodyBytes);
            body.writeBytes(data);
        }
        remainingBytes -= data.length;
        if (remainingBytes == 0) {
            state = state == State.CHUNK ? State.CHUNK_END : State.COMPLETE;
        }
    }

    private void readLineByte(byte b) throws MalformedResponseException {
        if (b == '\n') {
            String text = lineBuffer.toString(StandardCharsets.ISO_8859_1);
            lineBuffer.reset();
            onLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
        } else if (lineBytes++ >= MAX_HEAD_BYTES) {
            throw new MalformedResponseException("head or line too long");
        } else {
            lineBuffer.write(b);
        }
    }

    private void onLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> onStatusLine(text);
            case HEADERS -> onHeaderLine(text);
            case CHUNK_SIZE -> onChunkSize(text);
            case CHUNK_END -> onChunkEnd(text);
            default -> state = text.isEmpty() ? State.COMPLETE : State.TRAILERS;
        }
    }

    private void onStatusLine(String text) throws MalformedResponseException {
        boolean matches = STATUS_LINE.matcher(text).matches();
        status = matches ? Integer.parseInt(text.substring(9, 12)) : 0;
        if (status < 100 || (status == SWITCHING_PROTOCOLS && !acceptsUpgrade)) {
            throw new MalformedResponseException("expected the status line of an HTTP/1.x response");
        }
        keepAlive = text.charAt(7) == '1';
        state = State.HEADERS;
    }

    private void onHeaderLine(String text) throws MalformedResponseException {
        if (text.isEmpty()) {
            onHeadersEnd();
            return;
        }
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("expected a header line");
        }
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1).trim();
        // Headers with characters that another parser could interpret differently are dropped.
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
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
    }

    private void onChunkEnd(String text) throws MalformedResponseException {
        if (!text.isEmpty()) {
            throw new MalformedResponseException("chunk is longer than its declared size");
        }
        state = State.CHUNK_SIZE;
    }

    private void onHeadersEnd() throws MalformedResponseException {
        if (status == SWITCHING_PROTOCOLS) {
            state = State.COMPLETE;
            return;
        }
        if (status < 200) {
            headers.clear();
            state = State.STATUS_LINE;
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

    /** Determines where the body ends. Returns whether the end is given by a transfer coding instead of a length. */
    private boolean readFraming() throws MalformedResponseException {
        String coding = uniqueHeader("Transfer-Encoding");
        String length = uniqueHeader("Content-Length");
        if (status == 204 || status == 304) {
            state = State.COMPLETE;
        } else if ((coding == null) == (length == null)) {
            throw new MalformedResponseException("expected exactly one of Content-Length and Transfer-Encoding");
        } else if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException("unsupported transfer coding");
            }
            state = State.CHUNK_SIZE;
        } else {
            remainingBytes = parseLength(length, DECIMAL);
            if (consumer == null) {
                ResponseTooLongException.checkDeclared(remainingBytes, maxBodyBytes);
            }
            state = remainingBytes == 0 ? State.COMPLETE : State.BODY;
        }
        return coding != null;
    }

    /** Returns the value of a header that may be repeated only with the same value, or null if it is absent. */
    private String uniqueHeader(String name) throws MalformedResponseException {
        String found = null;
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                String value = headers.get(i + 1);
                if (found != null && !found.equals(value)) {
                    throw new MalformedResponseException("conflicting values of header " + name);
                }
                found = value;
            }
        }
        return found;
    }

    /** Parses a length, which must consist of ASCII digits only. */
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
