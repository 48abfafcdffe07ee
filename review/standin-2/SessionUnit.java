import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A unit that answers requests and opens WebSocket sessions; a text message is echoed, a close is answered. */
final class SessionUnit extends Kit.Server {
    /** Something that reached the unit. */
    record Event(double ms, String what, String id, String target) {}

    final List<Event> events = new CopyOnWriteArrayList<>();
    final String name;
    private final Kit.Log log;
    /** How long the unit stands still before it answers an opening. */
    volatile long openingMs;

    SessionUnit(String name, Kit.Log log, int backlog) throws IOException {
        super(0, backlog);
        this.name = name;
        this.log = log;
    }

    private void note(String what, String id, String target) {
        events.add(new Event(log.ms(), what, id, target));
        log.line("unit " + name + ": " + what + " " + id + " " + target);
    }

    @Override
    void serve(Socket socket) throws Exception {
        for (Kit.Message call = Kit.read(socket.getInputStream()); call != null; call = Kit.read(socket.getInputStream())) {
            String key = call.header("Sec-WebSocket-Key");
            if (key == null) {
                note("request", call.id(), call.first());
                Kit.respond(socket.getOutputStream(), "200 OK", "", "done by " + name + " for " + call.target());
                continue;
            }
            note("opening", call.id(), call.target());
            Kit.sleep(openingMs);
            Kit.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                            + "Sec-WebSocket-Accept: " + Kit.acceptKey(key) + "\r\n\r\n");
            note("opened", call.id(), call.target());
            talk(socket, call);
            return;
        }
    }

    private void talk(Socket socket, Kit.Message call) throws Exception {
        while (true) {
            Kit.Frame frame = Kit.readFrame(socket.getInputStream());
            if (frame.opcode() == 8) {
                note("close " + frame.code(), call.id(), "");
                Kit.writeFrame(socket.getOutputStream(), 8, frame.body(), false);
                return;
            } else if (frame.opcode() == 1) {
                note("message " + frame.text(), call.id(), "");
                byte[] answer = (call.target() + " | " + frame.text()).getBytes(StandardCharsets.UTF_8);
                Kit.writeFrame(socket.getOutputStream(), 1, answer, false);
            } else if (frame.opcode() == 9) {
                Kit.writeFrame(socket.getOutputStream(), 10, frame.body(), false);
            } else if (frame.opcode() < 0) {
                note("end of the connection", call.id(), "");
                return;
            }
        }
    }
}
