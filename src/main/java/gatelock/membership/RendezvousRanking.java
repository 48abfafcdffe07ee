package gatelock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Rendezvous (highest random weight) hashing: each relay ranks all endpoints by a hash of the endpoint's name and the
 * relay's number, and uses the first ones. Adding or removing an endpoint does not change the order of the others, and
 * a relay's ranking does not depend on the number of relays. The hash is 64-bit XXH3. The alternatives and measurements
 * are in docs/design/membership.md.
 */
class RendezvousRanking {
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long relayNumber;

    /**
     * Creates the ranking of one relay.
     *
     * @param relayNumber the relay's own number; relays with the same number have the same ranking
     */
    RendezvousRanking(long relayNumber) {
        this.relayNumber = relayNumber;
    }

    /** Returns the hash of a name in UTF-8, which is the same for all relays. */
    long hash(byte[] bytes, int from, int length) {
        return HASHER.hashBytesToLong(bytes, from, length);
    }

    /** Returns the hash of a name, which is the same for all relays. */
    final long hash(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return hash(bytes, 0, bytes.length);
    }

    /** Returns the rank of a name with this hash in the relay's ranking; the lowest rank comes first. */
    final long rank(long nameHash) {
        return HASHER.hashLongLongToLong(nameHash, relayNumber);
    }

    /** Compares two names by rank, and by the names themselves if their ranks are equal. */
    static int compare(long rank, String name, long otherRank, String otherName) {
        return rank == otherRank ? name.compareTo(otherName) : Long.compare(rank, otherRank);
    }
}
