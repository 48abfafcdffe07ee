package gatelock.simulator;

import gatelock.api.DecisionActions;
import gatelock.api.Verdict;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes the reply to a batch: a line for each action, preceded by an {@code AT} line where the relay changes. */
final class ReplyWriter {
    private static final int INITIAL_CHARS = 1 << 16;
    private static final int NO_RELAY = -1;
    private static final int NS_PER_US = 1_000;

    private final OutputStream out;
    private final StringBuilder text = new StringBuilder(INITIAL_CHARS);
    private int currentRelay = NO_RELAY;

    /** Creates a writer of replies. */
    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Starts the reply to a batch. */
    void begin() {
        currentRelay = NO_RELAY;
    }

    /** Completes the reply to a batch and flushes it. */
    void end() throws IOException {
        text.append("ACK\n");
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        text.setLength(0);
    }

    /** Returns the actions of one relay, which write their lines to this reply. */
    DecisionActions actionsOf(int relay) {
        return new RelayActions(relay);
    }

    /** Starts a line; the caller appends its values to the returned builder, each preceded by a space. */
    private StringBuilder line(int relay, String name) {
        if (currentRelay != relay) {
            text.append("AT ").append(relay).append('\n');
            currentRelay = relay;
        }
        return text.append(name);
    }

    /** Writes the actions that one relay's decision engine requests. */
    private final class RelayActions implements DecisionActions {
        private final int relay;

        RelayActions(int relay) {
            this.relay = relay;
        }

        @Override
        public void sendAttempt(String id, String endpoint, long timeoutUs) {
            line(relay, "RELAY")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(endpoint)
                    .append(' ')
                    .append(timeoutUs * NS_PER_US)
                    .append('\n');
        }

        @Override
        public void shedRequest(String id, long retryAfterUs) {
            line(relay, "SAY_NO")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(retryAfterUs * NS_PER_US)
                    .append('\n');
        }

        @Override
        public void failRequest(String id) {
            line(relay, "DROP_REQUEST").append(' ').append(id).append('\n');
        }

        @Override
        public void cancelAttempt(String id, int attemptNo) {
            line(relay, "RETRACT")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(attemptNo)
                    .append('\n');
        }

        @Override
        public void castVote(int build, int stage, Verdict verdict) {
            line(relay, "BALLOT")
                    .append(' ')
                    .append(build)
                    .append(' ')
                    .append(stage)
                    .append(' ')
                    .append(WireCodes.verdictCode(verdict))
                    .append('\n');
        }

        @Override
        public void scheduleTimer(long delayUs, long token) {
            line(relay, "SET_TIMER")
                    .append(' ')
                    .append(delayUs * NS_PER_US)
                    .append(' ')
                    .append(token)
                    .append('\n');
        }

        @Override
        public void subscribeToEndpoints() {
            line(relay, "TAIL").append(' ').append(1).append('\n');
        }

        @Override
        public void log(String line) {
            line(relay, "EMIT").append(' ').append(line).append('\n');
        }
    }
}
