package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.WebSocketPeer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Openings that are under way at once, more than there may be sessions. */
final class WebSocketOpeningLimitTest extends WebSocketTestCase {
    private static final int MAX_SESSIONS = 2;
    private static final int OPENINGS = 12;
    private static final int OPENING_MS = 300;
    /** Longer than the relay may take to notice that both sides of a session are gone. */
    private static final int RELEASE_MS = 1_500;

    @Override
    protected String sessionLimit() {
        return ", \"most\": " + MAX_SESSIONS;
    }

    /** Guards against more sessions than the limit, and against places that are not given back. */
    @Test
    void countsOpeningsThatAreUnderWay() throws Exception {
        webSocketEndpoint.delayOpenings(OPENING_MS);
        for (int round = 0; round < 3; round++) {
            List<WebSocketPeer> opened = openAtOnce("round" + round + "-");
            assertThat(opened).as("round %d", round).hasSize(MAX_SESSIONS);
            for (WebSocketPeer session : opened) {
                session.close();
            }
            Thread.sleep(RELEASE_MS);
        }
    }

    private List<WebSocketPeer> openAtOnce(String prefix) throws InterruptedException {
        List<WebSocketPeer> opened = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < OPENINGS; i++) {
            String id = prefix + i;
            BackgroundTask.start(() -> {
                try {
                    opened.add(WebSocketPeer.open(relay.port(), "/read/quick", id, ""));
                } finally {
                    answered.incrementAndGet();
                }
            });
        }
        while (answered.get() < OPENINGS) {
            Thread.sleep(20);
        }
        return opened;
    }
}
