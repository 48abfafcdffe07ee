package gatelock.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/**
 * Runs {@link ClientConnections} with random arrivals, partial reads, stalls, timers and responses. Guards against
 * closing a connection whose client is owed a response: with a delayed I/O thread, a timer can fire while a complete
 * request has arrived but has not been read.
 */
final class ClientConnectionsTest {
    private static final int ROUNDS = 1_500;
    private static final int PARTS_PER_REQUEST = 3;

    /** The client side of a connection, including the bytes that have arrived at the relay and have not been read. */
    private static final class Client {
        private boolean open = true;
        /** The number of written parts of the current request; {@code PARTS_PER_REQUEST} parts complete it. */
        private int partsWritten;
        /** The number of these parts that the relay has read. */
        private int partsRead;

        private boolean receivingResponse;
        /** The start of the request: its first byte on an idle connection, otherwise the accept of the connection. */
        private long startedUs;

        private long completedUs;
        private ClientCloseReason closeReason;
    }

    private static final class Simulation implements ClientSockets<Client> {
        private final RandomGenerator random;
        private final List<Client> clients = new ArrayList<>();
        private final ClientConnections<Client> connections;
        private long nowUs = 1;
        private int responsesWritten;

        Simulation(long seed, int softLimit, int hardLimit) {
            random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            connections = new ClientConnections<>(new Counters(), this, softLimit, hardLimit);
        }

        @Override
        public boolean hasUnreadBytes(Client c) {
            return c.partsWritten > c.partsRead;
        }

        @Override
        public void close(Client c, ClientConnectionState state, ClientCloseReason closeReason) {
            boolean completeInTime = c.partsWritten == PARTS_PER_REQUEST
                    && c.completedUs - c.startedUs <= ClientConnections.REQUEST_TIMEOUT_US;
            assertThat(c.open
                            && (completeInTime || c.receivingResponse)
                            && closeReason != ClientCloseReason.RESPONSE_NOT_READ)
                    .as("%s in %s, written %d, read %d", closeReason, state, c.partsWritten, c.partsRead)
                    .isFalse();
            c.open = false;
            c.closeReason = closeReason;
        }

        /** Lets randomly chosen clients write; called independently of the rounds of the I/O thread. */
        private void write(double probability) {
            for (Client c : clients) {
                if (c.open
                        && c.partsWritten < PARTS_PER_REQUEST
                        && !c.receivingResponse
                        && random.nextDouble() < probability) {
                    if (c.partsWritten == 0 && connections.state(c) != ClientConnectionState.AWAITING_FIRST_REQUEST) {
                        c.startedUs = nowUs;
                    }
                    c.partsWritten = random.nextBoolean() ? PARTS_PER_REQUEST : c.partsWritten + 1;
                    c.completedUs = nowUs;
                }
            }
        }

        /** Runs one round of the I/O thread: timers first, then accepts, then reads and writes. */
        private void runEventLoopOnce(int accepted) {
            connections.closeOverdue(nowUs);
            for (int i = 0; i < accepted; i++) {
                Client c = new Client();
                c.startedUs = nowUs;
                clients.add(c);
                connections.accepted(nowUs, c);
                connections.evictIfOverLimit(nowUs);
            }
            clients.removeIf(c -> !c.open);
            for (Client c : clients) {
                if (c.partsRead < c.partsWritten) {
                    c.partsRead = c.partsWritten;
                    connections.bytesRead(nowUs, c);
                    if (c.partsRead == PARTS_PER_REQUEST) {
                        connections.requestCompleted(nowUs, c);
                    }
                } else if (c.receivingResponse && random.nextInt(3) == 0) {
                    c.receivingResponse = false;
                    responsesWritten++;
                    connections.responseWritten(nowUs, c, false);
                } else if (connections.state(c) == ClientConnectionState.AWAITING_RESPONSE && random.nextInt(4) == 0) {
                    c.receivingResponse = true;
                    c.partsWritten = 0;
                    c.partsRead = 0;
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
    void neverClosesConnectionOwedAResponse(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.01, max = 0.4) double writeProbability) {
        Simulation simulation = new Simulation(seed, 20, 40);
        for (int i = 0; i < ROUNDS; i++) {
            simulation.write(writeProbability);
            simulation.nowUs += simulation.random.nextInt(20) == 0
                    ? simulation.random.nextLong(1, 4_000_000)
                    : simulation.random.nextLong(1, 60_000);
            simulation.write(writeProbability);
            simulation.runEventLoopOnce(simulation.random.nextInt(4) == 0 ? simulation.random.nextInt(6) : 0);
            assertThat(simulation.connections.connections()).containsExactlyInAnyOrderElementsOf(simulation.clients);
        }
        assertThat(simulation.responsesWritten).isPositive();
        // Once clients stop writing, every connection is closed within its timeout.
        for (Client c : simulation.clients) {
            c.partsWritten = 0;
            c.partsRead = 0;
        }
        List<Client> left = List.copyOf(simulation.clients);
        left.stream()
                .filter(c -> simulation.connections.state(c) == ClientConnectionState.AWAITING_RESPONSE)
                .forEach(c -> simulation.connections.responseStarted(simulation.nowUs, c));
        for (int i = 0; i < 60; i++) {
            simulation.nowUs += 50_000;
            simulation.connections.closeOverdue(simulation.nowUs);
        }
        assertThat(simulation.connections.size()).isZero();
    }

    /** A client that keeps sending single bytes must not extend the timeout of its request. */
    @Property(tries = 20, seed = "16")
    void closesConnectionOfIncompleteRequestInTime(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, 20, 40);
        simulation.runEventLoopOnce(1);
        Client slowClient = simulation.clients.get(0);
        for (int i = 0; i < 60 && slowClient.open; i++) {
            simulation.nowUs += 50_000;
            simulation.connections.closeOverdue(simulation.nowUs);
            simulation.connections.bytesRead(simulation.nowUs, slowClient);
        }
        assertThat(slowClient.closeReason).isEqualTo(ClientCloseReason.REQUEST_INCOMPLETE);
    }

    /** Guards against incomplete requests that hold all connections, so that no client is accepted any more. */
    @Test
    void evictsSlowestIncompleteRequestAboveHardLimit() {
        Simulation simulation = new Simulation(1, 20, 40);
        simulation.runEventLoopOnce(40);
        simulation.clients.forEach(c -> c.partsWritten = 1);
        simulation.nowUs += 1_000;
        simulation.clients.subList(0, 40).forEach(c -> {
            c.partsRead = 1;
            simulation.connections.bytesRead(simulation.nowUs, c);
        });
        List<Client> slow = List.copyOf(simulation.clients);
        // The rest of the request of the oldest one has arrived, but is unread.
        slow.get(0).partsWritten = PARTS_PER_REQUEST;
        slow.get(0).completedUs = simulation.nowUs;
        simulation.nowUs += 400_000;
        Client accepted = new Client();
        simulation.clients.add(accepted);
        simulation.connections.accepted(simulation.nowUs, accepted);
        simulation.connections.evictIfOverLimit(simulation.nowUs);
        assertThat(slow).filteredOn(c -> !c.open).containsExactly(slow.get(1));
        assertThat(slow.get(1).closeReason).isEqualTo(ClientCloseReason.EVICTED_INCOMPLETE);
        assertThat(accepted.open).isTrue();
    }
}
