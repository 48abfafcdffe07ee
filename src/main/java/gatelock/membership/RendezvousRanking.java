package gatelock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Ranked (rendezvous) hashing: each relay has its own order of all endpoints, by a hash of the endpoint's name and
 * the relay's number, and uses the first ones. An endpoint that comes or goes changes nobody's order of the
 * others, and no relay's order depends on how many relays there are. Options and figures:
 * docs/design/membership.md.
 */
class RendezvousRanking {
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long relay;

    /** @param relay the relay's own number */
    RendezvousRanking(long relay) {
        this.relay = relay;
    }

    long hash(byte[] bytes, int from, int length) {
        return HASHER.hashBytesToLong(bytes, from, length);
    }

    final long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return hash(bytes, 0, bytes.length);
    }

    /** A name's place in this relay's order: the least comes first; equal ones are told by their names. */
    long place(long hash) {
        return HASHER.hashLongLongToLong(hash, relay);
    }
}
