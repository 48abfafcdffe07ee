package gatelock;

import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Forwarding of requests to endpoints and of responses to clients, and which failed attempts are retried. */
final class RequestForwardingTest extends RelayTestCase {
    @Test
    void forwardsRequestUnchangedAndReusesConnection() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 20; i++) {
                String traceId = "id" + i;
                sendRequest(
                        client,
                        "POST /post/a%20b?x=1&y",
                        traceId,
                        "Idempotency-Key: 77\r\nX-Expires-In-Ms: 900\r\n",
                        "body");
                HttpMessage call = endpoint.awaitCall();
                assertThat(call.head()).startsWith("POST /post/a%20b?x=1&y HTTP/1.1\r\n");
                assertThat(call.body()).isEqualTo("body");
                assertThat(call.header("X-Trace-Id")).isEqualTo(traceId);
                assertThat(call.header("Idempotency-Key")).isEqualTo("77");
                assertThat(Integer.parseInt(call.header("X-Expires-In-Ms"))).isBetween(1, 900);
                call.respond("200 OK", "X-Mine: yes\r\n", "done");
                HttpMessage response = readMessage(client);
                assertThat(response.head()).startsWith("HTTP/1.1 200");
                assertThat(response.header("X-Mine")).isEqualTo("yes");
                assertThat(response.body()).isEqualTo("done");
            }
        }
        // A connection is briefly unavailable after each request, so a few more may be opened, but not one for each of
        // the 20 requests.
        assertThat(endpoint.connections()).hasSizeLessThan(10);
    }

    /** Guards against bytes of the next request that are lost, or taken for a part of the one before. */
    @Test
    void forwardsRequestsThatArriveTogetherOneAfterAnother() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            String head = " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: ";
            RawHttp.write(
                    client,
                    "POST /claim/1" + head + "a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
                            + "\r\nPOST /claim/2" + head + "b\r\nContent-Length: 3\r\n\r\ntwo"
                            + "GET /read/3?x" + head + "c\r\n\r\n");
            for (String expected : new String[] {"POST /claim/1 one", "POST /claim/2 two", "GET /read/3?x "}) {
                HttpMessage call = endpoint.awaitCall();
                String requestLine = call.head().substring(0, call.head().indexOf(" HTTP/1.1"));
                assertThat(requestLine + " " + call.body()).isEqualTo(expected);
                call.respond("200 OK", "", expected);
                assertThat(readMessage(client).body()).isEqualTo(expected);
            }
        }
    }

    @Test
    void forwardsRequestThatArrivesByteByByte() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            client.setTcpNoDelay(true);
            String request = "POST /claim?x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: slow\r\nContent-Length: 2\r\n\r\nok";
            for (int i = 0; i < request.length(); i++) {
                RawHttp.write(client, request.substring(i, i + 1));
                Thread.sleep(1);
            }
            HttpMessage call = endpoint.awaitCall();
            assertThat(call.head()).startsWith("POST /claim?x HTTP/1.1\r\n");
            assertThat(call.body()).isEqualTo("ok");
        }
    }

    @Test
    void forwardsLargeBodyCompletely() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            String body = "0123456789abcdef".repeat(4096);
            sendRequest(client, "POST /claim", "large", "", body);
            HttpMessage call = endpoint.awaitCall();
            assertThat(call.body()).isEqualTo(body);
            call.respond("200 OK", "", body);
            assertThat(readMessage(client).body()).isEqualTo(body);
        }
    }

    @Test
    void doesNotRetryNonRetriableRequestThatMayHaveRun() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "once", "", "x");
            endpoint.awaitCall().respond("500 Oops", "", "");
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 502");
            assertThat(endpoint.calls()).isEmpty();
        }
    }

    @Test
    void retriesRetriableRequestAfterReset() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "again", "", "");
            endpoint.awaitCall().socket().close();
            endpoint.awaitCall().respond("200 OK", "", "second");
            assertThat(readMessage(client).body()).isEqualTo("second");
        }
    }

    @Test
    void retriesRequestThatNeverRanButNotAfterReset() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "never", "", "x");
            endpoint.awaitCall().respond("503 Full", "X-Never-Ran: 1\r\n", "");
            HttpMessage second = endpoint.awaitCall();
            assertThat(second.header("X-Trace-Id")).isEqualTo("never");
            second.socket().close();
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void respondsWithErrorAtDeadlineWhenEndpointIsSilent() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "silent", "X-Expires-In-Ms: 300\r\n", "x");
            endpoint.awaitCall();
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 504");
        }
    }

    @Test
    void shedsRequestWhenEndpointRefusesConnections() throws Exception {
        endpoint.refuseConnections();
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "nobody", "", "x");
            HttpMessage response = readMessage(client);
            assertThat(response.head()).startsWith("HTTP/1.1 503");
            assertThat(Double.parseDouble(response.header("Retry-After"))).isPositive();
        }
    }

    @Test
    void failsAttemptAndClosesConnectionOnMalformedResponse() throws Exception {
        startRelay();
        String ok = "HTTP/1.1 200 OK\r\n";
        String endless = "X-Pad: pppp\r\n".repeat(2000);
        for (String malformed : new String[] {
            "noise\r\n\r\nnoise",
            "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 OK 200\r\n\r\n",
            ok + endless,
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(1000),
            ok + "Content-Length: -1\r\n\r\nx",
            ok + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
            ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            ok + "Content-Length: 3000000000\r\n\r\nxxxx",
            ok + "Content-Length: 99999999999999999999\r\n\r\nx",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n-5\r\nabcde",
            ok + "Transfer-Encoding: gzip\r\n\r\nx",
            ok + "no header\r\nContent-Length: 1\r\n\r\nx",
            ok + "\r\nno length"
        }) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "malformed", "", "x");
                HttpMessage call = endpoint.awaitCall();
                RawHttp.write(call.socket(), malformed);
                assertThat(readMessage(client).head()).as(malformed).startsWith("HTTP/1.1 502");
                assertThat(endpoint.closedConnections().poll(20, TimeUnit.SECONDS))
                        .as(malformed)
                        .isSameAs(call.socket());
                for (int i = 0; i < 3; i++) {
                    // Valid responses keep the endpoint from being ejected as an outlier.
                    sendRequest(client, "POST /claim", "good", "", "x");
                    endpoint.awaitCall().respond("200 OK", "", "good");
                    assertThat(readMessage(client).body()).as(malformed).isEqualTo("good");
                }
            }
        }
    }

    @Test
    void servesValidResponseAndDiscardsBytesBehindIt() throws Exception {
        startRelay();
        String good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
        for (String bytes : new String[] {
            good + good,
            good + "noise",
            "HTTP/1.1 100 Continue\r\n\r\n" + good,
            "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + good,
            good.replace("Content", "X-Load: \u0001\u00ff;;=\r\nX-L\u00f6ad: 1\r\nContent")
        }) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "more", "", "x");
                RawHttp.write(endpoint.awaitCall().socket(), bytes);
                assertThat(readMessage(client).body()).as(bytes).isEqualTo("good");
                sendRequest(client, "POST /claim", "next", "", "x");
                endpoint.awaitCall().respond("200 OK", "", "mine");
                assertThat(readMessage(client).body()).as(bytes).isEqualTo("mine");
            }
        }
    }
}
