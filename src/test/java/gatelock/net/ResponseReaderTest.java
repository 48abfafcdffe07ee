package gatelock.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.state.UpstreamResponse;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies which responses are accepted and which are rejected, and that the result does not depend on how the data is
 * split.
 */
final class ResponseReaderTest {
    private static final int MAX_BODY_BYTES = 10;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static ResponseReader read(String text) throws MalformedResponseException {
        ResponseReader reader = new ResponseReader(null, MAX_BODY_BYTES, false);
        reader.read(bytes(text));
        return reader;
    }

    private static String body(UpstreamResponse response) {
        return new String(response.body(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200\nContent-Length: 4\nContent-Length: 4\n\nbody",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nbod\r\n1;x=y\r\ny\r\n0\r\nX: y\r\n\r\n"
            })
    void parsesIdenticallyForEverySplitOffset(String text) throws Exception {
        for (int offset = 0; offset <= text.length(); offset++) {
            ResponseReader reader = new ResponseReader(null, MAX_BODY_BYTES, false);
            reader.read(bytes(text.substring(0, offset)));
            assertThat(reader.isComplete()).as("split at offset " + offset).isEqualTo(offset == text.length());
            reader.read(bytes(text.substring(offset)));
            assertThat(reader.isComplete()).isTrue();
            assertThat(reader.response().status()).isEqualTo(200);
            assertThat(body(reader.response())).isEqualTo("body");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/2 200 OK\r\n",
                "HTTP/1.1 20 OK\r\n",
                "HTTP/1.1 600 OK\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\n",
                "HTTP/1.1 200 OK\r\n: no name\r\n",
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n"
            })
    void rejectsMalformedResponse(String text) {
        assertThatThrownBy(() -> read(text)).isExactlyInstanceOf(MalformedResponseException.class);
    }

    @Test
    void rejectsHeadLongerThanTheLimit() {
        assertThatThrownBy(() -> read("HTTP/1.1 200 OK\r\nX: " + "y".repeat(16 * 1024)))
                .isExactlyInstanceOf(MalformedResponseException.class)
                .hasMessage("head or line too long");
    }

    @Test
    void rejectsOverlongBodyAsSoonAsItsLengthIsKnown() {
        assertThatThrownBy(() -> read("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"))
                .isInstanceOf(ResponseTooLongException.class)
                .hasMessage("body of 11 bytes is longer than 10");
        assertThatThrownBy(() -> read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n"))
                .isInstanceOf(ResponseTooLongException.class)
                .hasMessage("body of at least 11 bytes is longer than 10");
        assertThatThrownBy(() -> read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n123456\r\n6\r\n12345"))
                .isInstanceOf(ResponseTooLongException.class)
                .hasMessage("body of at least 11 bytes is longer than 10");
    }

    @Test
    void leavesBytesAfterTheResponseUnread() throws Exception {
        ByteBuffer in = bytes("HTTP/1.1 204 No Content\r\n\r\nmore");
        ResponseReader reader = new ResponseReader(null, MAX_BODY_BYTES, false);
        reader.read(in);
        assertThat(reader.isComplete()).isTrue();
        assertThat(in.remaining()).isEqualTo(4);
    }

    @Test
    void derivesKeepAliveFromVersionAndConnectionHeader() throws Exception {
        String length = "Content-Length: 0\r\n\r\n";
        assertThat(read("HTTP/1.1 200 OK\r\n" + length).isKeepAlive()).isTrue();
        assertThat(read("HTTP/1.1 200 OK\r\nConnection: Close\r\n" + length).isKeepAlive())
                .isFalse();
        assertThat(read("HTTP/1.0 200 OK\r\n" + length).isKeepAlive()).isFalse();
        assertThat(read("HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n" + length)
                        .isKeepAlive())
                .isTrue();
    }

    @Test
    void dropsHeadersWithInvalidCharacters() throws Exception {
        UpstreamResponse response =
                read("HTTP/1.1 200 OK\r\nX-A : 1\r\nX-B: 2\u0001x\r\nX-C: 3\r\nContent-Length: 0\r\n\r\n")
                        .response();
        assertThat(response.header("X-C")).isEqualTo("3");
        assertThat(response.header("X-A ")).isNull();
        assertThat(response.header("X-B")).isNull();
    }

    @Test
    void streamsBodyOfAnyLengthToConsumer() throws Exception {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        long[] declared = new long[1];
        ResponseReader reader = new ResponseReader(
                new BodyConsumer() {
                    @Override
                    public void onHead(int status, long contentLength) {
                        declared[0] = contentLength;
                    }

                    @Override
                    public void onBody(byte[] piece) {
                        received.writeBytes(piece);
                    }
                },
                MAX_BODY_BYTES,
                false);
        reader.read(bytes("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n123456"));
        assertThat(declared[0]).isEqualTo(12);
        assertThat(received.toString(StandardCharsets.US_ASCII)).isEqualTo("123456");
        reader.read(bytes("789012"));
        assertThat(received.toString(StandardCharsets.US_ASCII)).isEqualTo("123456789012");
        assertThat(reader.isComplete()).isTrue();
        assertThat(reader.response().body()).isEmpty();
    }
}
