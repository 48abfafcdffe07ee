package gatelock.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that two parsers read differently: they are either kept byte for byte or not well-formed. */
final class RequestHeadTest {
    private static RequestHead head(String text) {
        return new RequestHead(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void keepsTargetAndHeaderLinesAsWritten() {
        RequestHead head = head("GET /a%2B?b?%0D#c HTTP/1.0\nCookie: k=1\r\nX:\r\ncookie:  k=\u00e92\t\r\n\r\n");
        assertThat(head.isWellFormed()).isTrue();
        assertThat(head.target()).isEqualTo("/a%2B?b?%0D#c");
        assertThat(head.headerLinesExcept(name -> name.equalToString("X")))
                .containsExactly("Cookie: k=1", "cookie:  k=\u00e92\t");
    }

    @Test
    void passesHeadWithoutQueryToParser() {
        RequestHead head = head("GET /a;p=1?b&c HTTP/1.1\r\nHost: x?y\r\n\r\n");
        assertThat(new String(head.forParser(), StandardCharsets.ISO_8859_1))
                .isEqualTo("GET /a;p=1 HTTP/1.1\r\nHost: x?y\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /a  HTTP/1.1\r\n\r\n",
                "GET /a b HTTP/1.1\r\n\r\n",
                "GET /a\u00e9 HTTP/1.1\r\n\r\n",
                "GET /a\rX: y HTTP/1.1\r\n\r\n",
                "GET  HTTP/1.1\r\n\r\n",
                " /a HTTP/1.1\r\n\r\n",
                " GET /a HTTP/1.1\r\n\r\n",
                "GET /a HTTP/1.1 \r\n\r\n",
                "GET /a HTTP/1.10\r\n\r\n",
                "GET /a HTTP/2.0\r\n\r\n",
                "GET /a\r\n\r\n",
                "GET /a HTTP/1.1\r\nX: a\rY: b\r\n\r\n",
                "GET /a HTTP/1.1\r\nX: a\u0000\r\n\r\n",
                "GET /a HTTP/1.1\r\nX: a\r\n folded\r\n\r\n",
                "GET /a HTTP/1.1\r\nX : a\r\n\r\n",
                "GET /a HTTP/1.1\r\n: a\r\n\r\n",
                "GET /a HTTP/1.1\r\nno header\r\n\r\n"
            })
    void findsHeadThatIsNotWellFormed(String text) {
        assertThat(head(text).isWellFormed()).isFalse();
    }
}
