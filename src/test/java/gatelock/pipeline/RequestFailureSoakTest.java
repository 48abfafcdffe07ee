package gatelock.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.config.Admission;
import gatelock.config.CompiledConfig;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigVersion;
import gatelock.config.SampleConfigs;
import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Sends requests for a while to a pipeline whose engine throws at random, while versions of the configuration change and
 * clients leave. Guards against combinations of faults in which a request is not answered exactly once in time, or
 * leaves something behind. {@code -Dsoak.seconds} and {@code -Dsoak.seed} set its length and seed.
 */
final class RequestFailureSoakTest {
    private static final int DURATION_S = Integer.getInteger("soak.seconds", 60);
    private static final long SEED = Long.getLong("soak.seed", 49);
    private static final int CLIENTS = 16;
    private static final int VERSION_INTERVAL_MS = 7;
    private static final double LEAVE_PROBABILITY = 0.1;
    private static final double FAULT_PROBABILITY = 0.3;

    /** Held strongly, so that its level is not reset when it is collected. */
    private static final Logger RELAY_LOG = Logger.getLogger("gatelock");

    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();

    private static CompiledConfig compile(String pools, int ratePerS, String route, String pool) {
        String text = String.format(
                "{\"format\": 1, \"pools\": {%s}, \"limits\": {\"l\": {\"ratePerS\": %d, \"burst\": 50,"
                        + " \"queue\": {\"length\": 20, \"waitMs\": 100}}}, \"routes\": [{\"name\": \"%s\","
                        + " \"path\": \"/claim\", \"class\": \"claim\", \"pool\": \"%s\", \"limits\": [\"l\"]}]}",
                pools, ratePerS, route, pool);
        ConfigCompiler.Result result = new ConfigCompiler(SampleConfigs.DEPLOYMENT)
                .compile(ConfigVersion.Epoch.NONE, 1, text.getBytes(StandardCharsets.UTF_8));
        assertThat(result.isValid()).as(result.diagnostics().toString()).isTrue();
        return result.config();
    }

    @BeforeEach
    void stopLoggingInjectedFaults() {
        RELAY_LOG.setLevel(Level.OFF);
    }

    @AfterEach
    void logAgain() {
        RELAY_LOG.setLevel(null);
    }

    @Test
    void answersEachRequestOnceWhileEngineThrowsAndVersionsChange() throws Exception {
        Admission admission = new Admission(1);
        List<CompiledConfig> versions = List.of(
                compile("\"payouts\": {}", 500, "claims", "payouts"),
                compile("\"claims-desk\": {}", 50, "claims", "claims-desk"),
                compile(
                        "\"payouts\": {\"zones\": [\"west\"], \"fallback\": \"any\"}, \"any\": {}",
                        500,
                        "new",
                        "payouts"));
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_S);
        try (FaultyPipeline pipeline = new FaultyPipeline(admission)) {
            pipeline.eventLoop().execute(() -> {
                Endpoint endpoint = new Endpoint(FaultyEngine.ENDPOINT, 1, 0, 0, 0, Endpoint.Health.READY, 0);
                admission.updateEndpoints(0, DecisionEngine.EndpointUpdateType.FULL, List.of(endpoint), Map.of());
                changeVersions(pipeline, admission, versions, 0);
            });
            pipeline.engine().setFaultRate(FAULT_PROBABILITY, SEED);
            BackgroundTask.start(() -> serve(pipeline));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(new Thread(() -> runClient(pipeline, number, endNs)));
                clients.get(i).start();
            }
            for (Thread client : clients) {
                client.join();
            }
            assertThat(violations).as("seed " + SEED).isEmpty();
            assertThat(answered.get()).isGreaterThan(DURATION_S * CLIENTS);
            pipeline.awaitNothingLeft();
        }
    }

    private static void changeVersions(
            FaultyPipeline pipeline, Admission admission, List<CompiledConfig> versions, int next) {
        admission.activate(pipeline.eventLoop().nowUs(), versions.get(next));
        pipeline.eventLoop()
                .schedule(
                        TimeUnit.MILLISECONDS.toMicros(VERSION_INTERVAL_MS),
                        () -> changeVersions(pipeline, admission, versions, (next + 1) % versions.size()));
    }

    /** Answers each attempt with its request's id, an error or a close. */
    private static void serve(FaultyPipeline pipeline) throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        while (true) {
            HttpMessage call = pipeline.endpoint().awaitCall();
            switch (random.nextInt(8)) {
                case 0 -> call.respond("500 Internal Server Error", "", "");
                case 1 -> call.socket().close();
                default -> call.respond("200 OK", "", call.header("X-Trace-Id"));
            }
        }
    }

    private void runClient(FaultyPipeline pipeline, int number, long endNs) {
        SplittableRandom random = new SplittableRandom(SEED + number);
        for (int i = 0; System.nanoTime() < endNs; i++) {
            String id = number + "-" + i;
            try (Socket client = pipeline.connect()) {
                send(client, id, random);
                if (random.nextDouble() >= LEAVE_PROBABILITY) {
                    checkResponse(client, id);
                }
            } catch (SocketTimeoutException e) {
                violations.add(id + ": no response in time");
            } catch (Exception e) {
                violations.add(id + ": " + e);
            }
        }
    }

    /** Sends a request, half of them in parts with time for a change of version in between. */
    private static void send(Socket client, String id, SplittableRandom random) throws Exception {
        String head = "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n";
        String message = random.nextBoolean()
                ? head + "Content-Length: 4\r\n\r\nbody"
                : head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        int cut = random.nextBoolean() ? random.nextInt(head.length(), message.length()) : message.length();
        RawHttp.write(client, message.substring(0, cut));
        if (cut < message.length()) {
            Thread.sleep(random.nextInt(3 * VERSION_INTERVAL_MS));
            RawHttp.write(client, message.substring(cut));
        }
    }

    private void checkResponse(Socket client, String id) throws Exception {
        HttpMessage response = RawHttp.readMessage(client);
        if (response == null) {
            violations.add(id + ": closed without a response");
            return;
        }
        boolean served = response.head().startsWith("HTTP/1.1 200");
        if (served ? !response.body().equals(id) : !response.head().startsWith("HTTP/1.1 50")) {
            violations.add(id + ": " + response.head() + response.body());
        }
        answered.incrementAndGet();
        if (client.getInputStream().available() > 0) {
            violations.add(id + ": more than one response");
        }
    }
}
