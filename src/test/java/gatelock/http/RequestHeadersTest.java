package gatelock.http;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.Test;

/** Verifies how the values of single headers are parsed, at the limits of what is accepted. */
final class RequestHeadersTest {

    @Test
    void acceptsWholeTimeoutUpToTenTimesTheRouteTimeout() {
        assertThat(RequestHeaders.expiresInMs("1", 200_000)).isEqualTo(1);
        assertThat(RequestHeaders.expiresInMs("2000", 200_000)).isEqualTo(2000);
        assertThat(RequestHeaders.expiresInMs("2001", 200_000)).isZero();
        assertThat(RequestHeaders.expiresInMs("999999999", 0)).isEqualTo(999_999_999);
        for (String invalid : new String[] {"", "0", "-1", "+1", "1.5", " 1", "1000000000", "\u0661"}) {
            assertThat(RequestHeaders.expiresInMs(invalid, 0)).as(invalid).isZero();
        }
    }

    @Test
    void derivesNonNegativeKeyFromHexadecimalValueOrHash() {
        assertThat(RequestHeaders.key(null)).isEqualTo(DecisionEngine.NO_KEY);
        assertThat(RequestHeaders.key("")).isEqualTo(DecisionEngine.NO_KEY);
        assertThat(RequestHeaders.key("1f")).isEqualTo(0x1f);
        assertThat(RequestHeaders.key("ffffffffffffffff")).isEqualTo(Long.MAX_VALUE);
        // The FNV-1a hash of "foobar" is 0x85944171f73967e8; the sign bit is cleared.
        assertThat(RequestHeaders.key("foobar")).isEqualTo(0x05944171f73967e8L);
    }

    @Test
    void treatsInvalidCostAsZero() {
        assertThat(RequestHeaders.costUs(" 1500 ")).isEqualTo(1500);
        assertThat(RequestHeaders.costUs("3600000000")).isEqualTo(3_600_000_000L);
        for (String invalid : new String[] {null, "", "-5", "3600000001", "much", "1e3"}) {
            assertThat(RequestHeaders.costUs(invalid)).as("%s", invalid).isZero();
        }
    }

    @Test
    void rejectsMissingRepeatedEmptyOrOverlongHeader() {
        assertThat(RequestHeaders.singleValue(traceIds(), RequestHeaders.TRACE_ID))
                .isNull();
        assertThat(RequestHeaders.singleValue(traceIds("a"), RequestHeaders.TRACE_ID))
                .isEqualTo("a");
        assertThat(RequestHeaders.singleValue(traceIds("a", "a"), RequestHeaders.TRACE_ID))
                .isNull();
        assertThat(RequestHeaders.singleValue(traceIds(""), RequestHeaders.TRACE_ID))
                .isNull();
        assertThat(RequestHeaders.singleValue(traceIds("a".repeat(256)), RequestHeaders.TRACE_ID))
                .hasSize(256);
        assertThat(RequestHeaders.singleValue(traceIds("a".repeat(257)), RequestHeaders.TRACE_ID))
                .isNull();
    }

    private static HeaderMap traceIds(String... values) {
        HeaderMap headers = new HeaderMap();
        for (String value : values) {
            headers.add(RequestHeaders.TRACE_ID, value);
        }
        return headers;
    }
}
