package gatelock.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Random arrivals, partial reads, stalls, timers and responses, checked by clients that know what they are owed. */
final class ClientConnectionsTest {
    private static final int STEPS = 1_500;
    private static final int PARTS = 3;

    /** One client's side of a connection, with the bytes that the kernel holds for the relay. */
    private static final class Client {
        private boolean open = true;
        /** How many parts of a request were written; {@code PARTS} make it complete. */
        private int written;
        /** How many of these the relay has read. */
        private int read;

        private boolean answering;
        /** When the request began: its first byte on an idle connection, else accept. */
        private long sinceUs;

        private long completeUs;
        private ClientCloseReason closeReason;
    }

    private static final class World implements ClientSockets<Client> {
        private final RandomGenerator random;
        private final List<Client> clients = new ArrayList<>();
        private final ClientConnections<Client> connections;
        private long nowUs = 1;
        private int served;

        World(long seed, int softLimit, int hardLimit) {
            random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            connections = new ClientConnections<>(new Counters(), this, softLimit, hardLimit);
        }

        @Override
        public boolean hasUnreadBytes(Client c) {
            return c.written > c.read;
        }

        @Override
        public void close(Client c, ClientConnectionState state, ClientCloseReason closeReason) {
            boolean completeInTime =
                    c.written == PARTS && c.completeUs - c.sinceUs <= ClientConnections.REQUEST_TIMEOUT_US;
            assertThat(c.open && (completeInTime || c.answering) && closeReason != ClientCloseReason.RESPONSE_NOT_READ)
                    .as("%s in %s, written %d, read %d", closeReason, state, c.written, c.read)
                    .isFalse();
            c.open = false;
            c.closeReason = closeReason;
        }

        /** Has some of the clients write, at any time, whether or not the I/O thread runs. */
        private void write(double share) {
            for (Client c : clients) {
                if (c.open && c.written < PARTS && !c.answering && random.nextDouble() < share) {
                    if (c.written == 0 && connections.state(c) != ClientConnectionState.AWAITING_FIRST_REQUEST) {
                        c.sinceUs = nowUs;
                    }
                    c.written = random.nextBoolean() ? PARTS : c.written + 1;
                    c.completeUs = nowUs;
                }
            }
        }

        /** One round of the I/O thread: timers first, then what was accepted, then what can be read or written. */
        private void runOnce(int accepted) {
            connections.closeOverdue(nowUs);
            for (int i = 0; i < accepted; i++) {
                Client c = new Client();
                c.sinceUs = nowUs;
                clients.add(c);
                connections.accepted(nowUs, c);
                connections.evictIfCrowded(nowUs);
            }
            clients.removeIf(c -> !c.open);
            for (Client c : clients) {
                if (c.read < c.written) {
                    c.read = c.written;
                    connections.bytesRead(nowUs, c);
                    if (c.read == PARTS) {
                        connections.requestCompleted(c);
                    }
                } else if (c.answering && random.nextInt(3) == 0) {
                    c.answering = false;
                    served++;
                    connections.responseWritten(nowUs, c, false);
                } else if (connections.state(c) == ClientConnectionState.AWAITING_RESPONSE && random.nextInt(4) == 0) {
                    c.answering = true;
                    c.written = 0;
                    c.read = 0;
                    connections.responseStarted(nowUs, c);
                } else if (random.nextInt(400) == 0) {
                    c.open = false;
                    connections.remove(c);
                }
            }
            clients.removeIf(c -> !c.open);
        }
    }

    @Property(tries = 300, seed = "16")
    void noRequestIsCutOffWhateverTheOrder(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.01, max = 0.4) double share) {
        World world = new World(seed, 20, 40);
        for (int i = 0; i < STEPS; i++) {
            world.write(share);
            world.nowUs += world.random.nextInt(20) == 0
                    ? world.random.nextLong(1, 4_000_000)
                    : world.random.nextLong(1, 60_000);
            world.write(share);
            world.runOnce(world.random.nextInt(4) == 0 ? world.random.nextInt(6) : 0);
            assertThat(world.connections.connections()).containsExactlyInAnyOrderElementsOf(world.clients);
        }
        assertThat(world.served).isPositive();
        // Once no client writes any more, every connection is closed within its timeout.
        for (Client c : world.clients) {
            c.written = 0;
            c.read = 0;
        }
        List<Client> left = List.copyOf(world.clients);
        left.stream()
                .filter(c -> world.connections.state(c) == ClientConnectionState.AWAITING_RESPONSE)
                .forEach(c -> world.connections.responseStarted(world.nowUs, c));
        for (int i = 0; i < 60; i++) {
            world.nowUs += 50_000;
            world.connections.closeOverdue(world.nowUs);
        }
        assertThat(world.connections.size()).isZero();
    }

    @Property(tries = 20, seed = "16")
    void aDripOfBytesEndsInTime(@ForAll long seed) {
        World world = new World(seed, 20, 40);
        world.runOnce(1);
        Client dripping = world.clients.get(0);
        for (int i = 0; i < 60 && dripping.open; i++) {
            world.nowUs += 50_000;
            world.connections.closeOverdue(world.nowUs);
            world.connections.bytesRead(world.nowUs, dripping);
        }
        assertThat(dripping.closeReason).isEqualTo(ClientCloseReason.REQUEST_INCOMPLETE);
    }
}
