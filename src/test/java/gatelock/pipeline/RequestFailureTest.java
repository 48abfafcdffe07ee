package gatelock.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.net.EventLoop;
import gatelock.standin.RawHttp;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.ResponseSink;
import gatelock.state.UpstreamResponse;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that are never answered, and connections that are never freed, because a stage or the
 * decision engine throws between the last byte of a request and its response.
 */
final class RequestFailureTest {
    private FaultyPipeline pipeline;
    private FaultyEngine engine;

    @BeforeEach
    void startPipeline() throws Exception {
        pipeline = new FaultyPipeline(null);
        engine = pipeline.engine();
    }

    @AfterEach
    void stop() throws Exception {
        pipeline.close();
    }

    /** Sends a request, with its body in a second segment or together with the head. */
    private static void send(Socket client, String id, boolean bodyLater) throws Exception {
        String head = "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nContent-Length: 4\r\n\r\n";
        if (bodyLater) {
            RawHttp.write(client, head);
            Thread.sleep(50);
            RawHttp.write(client, "body");
        } else {
            RawHttp.write(client, head + "body");
        }
    }

    @ParameterizedTest
    @EnumSource
    void answersOnceAndFreesConnectionWhateverTheEngineThrows(FaultyEngine.Fault fault) throws Exception {
        engine.setFault(fault);
        for (boolean bodyLater : new boolean[] {false, true}) {
            try (Socket client = pipeline.connect()) {
                send(client, "r-" + bodyLater, bodyLater);
                if (fault == FaultyEngine.Fault.ATTEMPT_ENDED) {
                    pipeline.endpoint().awaitCall().respond("500 Internal Server Error", "", "");
                }
                assertThat(RawHttp.readMessage(client).head()).startsWith("HTTP/1.1 50");
                if (fault == FaultyEngine.Fault.LEAVING) {
                    pipeline.endpoint().awaitCall();
                }
                // The connection serves the next request, so the error was the only response.
                engine.setFault(null);
                send(client, "next-" + bodyLater, bodyLater);
                // The engine is asked whether an attempt may start only on a new connection to the endpoint.
                pipeline.endpoint().awaitCall().respond("200 OK", "Connection: close\r\n", "fine");
                assertThat(RawHttp.readMessage(client).body()).isEqualTo("fine");
                engine.setFault(fault);
            }
        }
        pipeline.awaitNothingLeft();
    }

    @Test
    void answersRequestIfReportingAnAttemptThrows() throws Exception {
        pipeline.attemptSender().setAttemptListener((name, result) -> {
            throw new IllegalStateException("injected fault");
        });
        try (Socket client = pipeline.connect()) {
            send(client, "r", true);
            pipeline.endpoint().awaitCall().respond("200 OK", "", "fine");
            assertThat(RawHttp.readMessage(client).head()).startsWith("HTTP/1.1 502");
        }
        pipeline.awaitNothingLeft();
    }

    @Test
    void freesConnectionOfClientThatLeavesIfTheEngineThrows() throws Exception {
        engine.setFault(FaultyEngine.Fault.LEAVING);
        try (Socket client = pipeline.connect()) {
            send(client, "r", true);
            pipeline.endpoint().awaitCall();
        }
        pipeline.awaitNothingLeft();
    }

    @Test
    void answersRequestIfItsCompletionActionThrows() {
        List<String> responses = new ArrayList<>();
        InFlightRequest request = new InFlightRequest("r", new byte[0], new byte[0], 0, new ResponseSink() {
            @Override
            public boolean isClientConnected() {
                return true;
            }

            @Override
            public boolean endIfClientLeft() {
                return false;
            }

            @Override
            public void forward(UpstreamResponse response) {
                responses.add("forwarded");
            }

            @Override
            public void reject(long retryAfterUs) {
                responses.add("rejected");
            }

            @Override
            public void fail(boolean timedOut) {
                responses.add("failed");
            }
        });
        request.onCompleted(() -> {
            throw new IllegalStateException("injected fault");
        });
        EventLoop eventLoop = pipeline.eventLoop();
        Counters counters = new Counters();
        InFlightRequests inFlight = new InFlightRequests(counters);
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        RequestFailureHandler failures = new RequestFailureHandler(eventLoop, inFlight, counters, responseWriter);
        failures.run(request, () -> responseWriter.reject(request, 0));
        assertThat(responses).containsExactly("rejected");
    }
}
