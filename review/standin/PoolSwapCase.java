import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A version that renames a pool comes into force while requests are being uploaded. */
final class PoolSwapCase {
    private static final int UPLOADS = 10;
    private static final long EXPIRES_MS = 4000;

    private static String version(String pool) {
        return "{\"format\":1,\"by\":\"ops\",\"note\":\"pool " + pool + "\",\"unmatched\":\"refuse\","
                + "\"pools\":{\"" + pool + "\":{\"zones\":[\"colombo-dc\"]}},"
                + "\"routes\":[{\"name\":\"claims\",\"path\":\"/harvest-log\",\"class\":\"harvest-log\",\"pool\":\"" + pool
                + "\"},{\"name\":\"reads\",\"path\":\"/weight-read\",\"class\":\"weight-read\"}]}";
    }

    public static void main(String[] args) throws IOException {
        Stand.begin(args);
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            int unit = Stand.serve("unit", (request, out, socket) -> {
                Stand.note("run " + request.header("X-Trace-Id"));
                Stand.sleep(100);
                out.write(Stand.answer(200, "", "done " + request.header("X-Trace-Id")));
            });
            list.append(i == 0 ? "" : ",").append(Stand.entry("s-" + i, unit, i % 2 == 0 ? "colombo-dc" : "kandy-dc"));
        }
        Stand.Discovery discovery = new Stand.Discovery();
        discovery.list(list.toString());
        Stand.Control control = new Stand.Control();
        control.publish(1, version("payouts"));
        Path operator = Stand.work().resolve("operator.json");
        Files.writeString(
                operator, "{\"control\":{\"services\":[\"127.0.0.1:" + control.port + "\"],\"holdMs\":5000}}");
        Stand.Relay relay =
                new Stand.Relay("n1", discovery, Stand.controller(Stand.NEWS), "--operator " + operator);
        relay.start();
        if (!control.awaitAccepted(1, 5000)) {
            Stand.end(2, "version 1 was not acknowledged");
        }
        AtomicInteger lost = new AtomicInteger();
        List<Thread> uploads = new ArrayList<>();
        for (int i = 0; i < UPLOADS; i++) {
            int number = i;
            uploads.add(Stand.start("upload", () -> upload(relay, number, lost)));
            Stand.sleep(100);
        }
        if (Stand.TROUBLE) {
            control.publish(2, version("claims-desk"));
            if (!control.awaitAccepted(2, 3000)) {
                Stand.end(2, "version 2 was not acknowledged");
            }
        }
        for (Thread upload : uploads) {
            try {
                upload.join(20_000);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        Stand.Outcome after = Stand.request(
                relay,
                Stand.head("POST", "/harvest-log", "after", "k=1", EXPIRES_MS, "Content-Length: 1\r\n"),
                "x",
                EXPIRES_MS);
        Stand.note("after " + after);
        Stand.end(
                lost.get() > 0 ? 1 : 0,
                UPLOADS + " uploads, " + lost.get() + " lost; one request after the change: " + after);
    }

    /** Sends the head with half of the body, and the rest of the body 1.2 s later. */
    private static void upload(Stand.Relay relay, int number, AtomicInteger lost) {
        String body = "x".repeat(2000);
        String id = "claim-" + number;
        try (Socket socket = relay.connect(2000)) {
            socket.getOutputStream()
                    .write((Stand.head(
                                            "POST", "/harvest-log", id, "k=" + number, EXPIRES_MS,
                                            "Content-Length: " + body.length() + "\r\n")
                                    + body.substring(0, 1000))
                            .getBytes());
            Stand.note("sent half of " + id);
            Stand.sleep(1200);
            socket.getOutputStream().write(body.substring(1000).getBytes());
            long sentMs = Stand.ms();
            Stand.note("sent " + id + ", complete now");
            socket.setSoTimeout((int) EXPIRES_MS + 500);
            try {
                Stand.Message answer = Stand.read(new BufferedInputStream(socket.getInputStream()));
                Stand.note(id + " " + (answer == null ? "CLOSED" : "answered " + answer.status()));
                lost.addAndGet(answer == null ? 1 : 0);
            } catch (SocketTimeoutException e) {
                Stand.note(id + " got nothing in " + (Stand.ms() - sentMs) + " ms");
                lost.incrementAndGet();
            }
        } catch (IOException e) {
            Stand.note(id + " " + e);
        }
    }
}
