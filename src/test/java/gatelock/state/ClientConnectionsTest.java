package gatelock.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/**
 * Random arrivals, partial reads, stalls, timers and answers against clients that know what they were owed.
 */
final class ClientConnectionsTest {
    private static final int STEPS = 1_500;

    /** One client's side of a connection, and what the kernel holds for the relay. */
    private static final class Client {
        private boolean open = true;
        /** Parts of a request written and, of these, read; three make it whole. */
        private int written;

        private int read;
        private boolean answering;
        /** From its first byte on a connection that stood, or from accept. */
        private long sinceUs;

        private long wholeUs;
        private ClientConnections.Why why;
    }

    private final class World implements ClientConnections.Sockets<Client> {
        private final RandomGenerator random;
        private final List<Client> clients = new ArrayList<>();
        private final ClientConnections<Client> kept;
        private long nowUs = 1;
        private int served;

        World(long seed, int withEase, int most) {
            random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            kept = new ClientConnections<>(new Counters(), this, withEase, most);
        }

        @Override
        public boolean unread(Client c) {
            return c.written > c.read;
        }

        @Override
        public void end(Client c, ClientConnections.State state, ClientConnections.Why why) {
            boolean inTime = c.written == 3 && c.wholeUs - c.sinceUs <= ClientConnections.WHOLE_WITHIN_US;
            assertThat(c.open && (inTime || c.answering) && why != ClientConnections.Why.ANSWER_UNREAD)
                    .as("%s in %s, written %d, read %d", why, state, c.written, c.read)
                    .isFalse();
            c.open = false;
            c.why = why;
        }

        /** What clients do, at any time, whether or not the relay runs. */
        private void write(double share) {
            for (Client c : clients) {
                if (c.open && c.written < 3 && !c.answering && random.nextDouble() < share) {
                    if (c.written == 0 && kept.state(c) != ClientConnections.State.SILENT) {
                        c.sinceUs = nowUs;
                    }
                    c.written = random.nextBoolean() ? 3 : c.written + 1;
                    c.wholeUs = nowUs;
                }
            }
        }

        /**
         * One turn of the relay's thread: timers first, then what was accepted, then what can be read or
         * written.
         */
        private void turn(int accepted) {
            kept.endOverdue(nowUs);
            for (int i = 0; i < accepted; i++) {
                Client c = new Client();
                c.sinceUs = nowUs;
                clients.add(c);
                kept.came(nowUs, c);
                kept.makeRoom(nowUs);
            }
            clients.removeIf(c -> !c.open);
            for (Client c : clients) {
                if (c.read < c.written) {
                    c.read = c.written;
                    kept.bytes(nowUs, c);
                    if (c.read == 3) {
                        kept.whole(c);
                    }
                } else if (c.answering && random.nextInt(3) == 0) {
                    c.answering = false;
                    served++;
                    kept.answered(nowUs, c, false);
                } else if (kept.state(c) == ClientConnections.State.OWED && random.nextInt(4) == 0) {
                    c.answering = true;
                    c.written = 0;
                    c.read = 0;
                    kept.answering(nowUs, c);
                } else if (random.nextInt(400) == 0) {
                    c.open = false;
                    kept.gone(c);
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
            world.turn(world.random.nextInt(4) == 0 ? world.random.nextInt(6) : 0);
            assertThat(world.kept.connections()).containsExactlyInAnyOrderElementsOf(world.clients);
        }
        assertThat(world.served).isPositive();
        // When nobody says anything any more, all of them go, each within its time.
        for (Client c : world.clients) {
            c.written = c.read = 0;
        }
        List<Client> left = List.copyOf(world.clients);
        left.stream()
                .filter(c -> world.kept.state(c) == ClientConnections.State.OWED)
                .forEach(c -> world.kept.answering(world.nowUs, c));
        for (int i = 0; i < 60; i++) {
            world.nowUs += 50_000;
            world.kept.endOverdue(world.nowUs);
        }
        assertThat(world.kept.size()).isZero();
    }

    @Property(tries = 20, seed = "16")
    void aDripOfBytesEndsInTime(@ForAll long seed) {
        World world = new World(seed, 20, 40);
        world.turn(1);
        Client dripping = world.clients.get(0);
        for (int i = 0; i < 60 && dripping.open; i++) {
            world.nowUs += 50_000;
            world.kept.endOverdue(world.nowUs);
            world.kept.bytes(world.nowUs, dripping);
        }
        assertThat(dripping.why).isEqualTo(ClientConnections.Why.UNFINISHED);
    }
}
