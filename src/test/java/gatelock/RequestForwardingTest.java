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

/** Requests on their way to an endpoint and responses on their way back, and which of them are retried. */
final class RequestForwardingTest extends RelayTestCase {
    @Test
    void anOrdinaryRequestPassesUnchangedAndItsConnectionStays() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 20; i++) {
                String id = "id" + i;
                sendRequest(
                        client,
                        "POST /post/a%20b?x=1&y",
                        id,
                        "Idempotency-Key: 77\r\nX-Expires-In-Ms: 900\r\n",
                        "body");
                HttpMessage at = endpoint.awaitCall();
                assertThat(at.head()).startsWith("POST /post/a%20b?x=1&y HTTP/1.1\r\n");
                assertThat(at.body()).isEqualTo("body");
                assertThat(at.header("X-Trace-Id")).isEqualTo(id);
                assertThat(at.header("Idempotency-Key")).isEqualTo("77");
                assertThat(Integer.parseInt(at.header("X-Expires-In-Ms"))).isBetween(1, 900);
                at.respond("200 OK", "X-Mine: yes\r\n", "done");
                HttpMessage answer = readMessage(client);
                assertThat(answer.head()).startsWith("HTTP/1.1 200");
                assertThat(answer.header("X-Mine")).isEqualTo("yes");
                assertThat(answer.body()).isEqualTo("done");
            }
        }
        // A connection is unavailable for an instant after each request, so there may be some, but not one for each
        // request.
        assertThat(endpoint.connections()).hasSizeLessThan(10);
    }

    @Test
    void aLargeBodyPassesWhole() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            String body = "0123456789abcdef".repeat(4096);
            sendRequest(client, "POST /claim", "large", "", body);
            HttpMessage at = endpoint.awaitCall();
            assertThat(at.body()).isEqualTo(body);
            at.respond("200 OK", "", body);
            assertThat(readMessage(client).body()).isEqualTo(body);
        }
    }

    @Test
    void aNonRetriableRequestThatMayHaveRunIsNotRepeated() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "once", "", "x");
            endpoint.awaitCall().respond("500 Oops", "", "");
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 502");
            assertThat(endpoint.calls()).isEmpty();
        }
    }

    @Test
    void aRetriableRequestGoesOnAfterAReset() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "again", "", "");
            endpoint.awaitCall().socket().close();
            endpoint.awaitCall().respond("200 OK", "", "second");
            assertThat(readMessage(client).body()).isEqualTo("second");
        }
    }

    @Test
    void aRequestThatNeverRanGoesOnToAnotherEndpointAndAResetAfterThatEndsIt() throws Exception {
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
    void aSilentEndpointLeavesTheClientWithAnErrorInTime() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "silent", "X-Expires-In-Ms: 300\r\n", "x");
            endpoint.awaitCall();
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 504");
        }
    }

    @Test
    void anEndpointThatCantBeReachedIsShed() throws Exception {
        endpoint.refuseConnections();
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "nobody", "", "x");
            HttpMessage answer = readMessage(client);
            assertThat(answer.head()).startsWith("HTTP/1.1 503");
            assertThat(Double.parseDouble(answer.header("Retry-After"))).isPositive();
        }
    }

    @Test
    void aSpoiltAnswerIsAFailedAttemptAndItsConnectionEnds() throws Exception {
        startRelay();
        String ok = "HTTP/1.1 200 OK\r\n";
        String endless = "X-Pad: pppp\r\n".repeat(2000);
        for (String spoilt : new String[] {
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
                sendRequest(client, "POST /claim", "spoilt", "", "x");
                HttpMessage at = endpoint.awaitCall();
                RawHttp.write(at.socket(), spoilt);
                assertThat(readMessage(client).head()).as(spoilt).startsWith("HTTP/1.1 502");
                assertThat(endpoint.closedConnections().poll(20, TimeUnit.SECONDS))
                        .as(spoilt)
                        .isSameAs(at.socket());
                for (int i = 0; i < 3; i++) {
                    // Good responses keep the endpoint from being ejected as an outlier.
                    sendRequest(client, "POST /claim", "good", "", "x");
                    endpoint.awaitCall().respond("200 OK", "", "good");
                    assertThat(readMessage(client).body()).as(spoilt).isEqualTo("good");
                }
            }
        }
    }

    @Test
    void aGoodAnswerWithMoreThanBelongsToItServesAndNothingBehindItIsEverServed() throws Exception {
        startRelay();
        String good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
        for (String more : new String[] {
            good + good,
            good + "noise",
            "HTTP/1.1 100 Continue\r\n\r\n" + good,
            "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + good,
            good.replace("Content", "X-Load: \u0001\u00ff;;=\r\nX-L\u00f6ad: 1\r\nContent")
        }) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "more", "", "x");
                RawHttp.write(endpoint.awaitCall().socket(), more);
                assertThat(readMessage(client).body()).as(more).isEqualTo("good");
                sendRequest(client, "POST /claim", "next", "", "x");
                endpoint.awaitCall().respond("200 OK", "", "mine");
                assertThat(readMessage(client).body()).as(more).isEqualTo("mine");
            }
        }
    }
}
