package gatelock.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients that each send requests one after the other through a relay to an endpoint that responds at once. */
public final class SteadyTraffic implements AutoCloseable {
    private static final int JOIN_TIMEOUT_MS = 30_000;

    private final RelayUnderTest relay;
    private final List<Thread> clients = new ArrayList<>();
    private final Map<String, Integer> responsesByStatus = new ConcurrentHashMap<>();
    private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;

    /** Starts the given number of clients. The endpoint responds to all calls from now on. */
    public SteadyTraffic(RelayUnderTest relay, FakeServer endpoint, int clientCount) {
        this.relay = relay;
        BackgroundTask.start(() -> {
            while (true) {
                endpoint.awaitCall().respond("200 OK", "", "done");
            }
        });
        for (int i = 0; i < clientCount; i++) {
            int clientNo = i;
            Thread client = new Thread(() -> sendRequests(clientNo));
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
    }

    private void sendRequests(int clientNo) {
        try (Socket client = relay.connect()) {
            for (int i = 0; !stopped; i++) {
                boolean read = i % 2 == 0;
                String traceId = "t" + clientNo + "-" + i;
                RawHttp.sendRequest(client, read ? "GET /read" : "POST /claim", traceId, "", read ? "" : "x");
                String status = RawHttp.readMessage(client).head().substring(9, 12);
                responsesByStatus.merge(status, 1, Integer::sum);
            }
        } catch (IOException | RuntimeException | AssertionError e) {
            failures.add(e);
        }
    }

    /** Stops the clients, checks that each request had a response, and returns the responses by status. */
    public Map<String, Integer> stop() throws InterruptedException {
        stopped = true;
        for (Thread client : clients) {
            client.join(JOIN_TIMEOUT_MS);
            assertThat(client.isAlive())
                    .as("client waiting for a response 30 s after the stop, expected none")
                    .isFalse();
        }
        assertThat(failures).isEmpty();
        return responsesByStatus;
    }

    @Override
    public void close() {
        stopped = true;
    }
}
