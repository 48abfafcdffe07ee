package gatelock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Rendezvous (highest random weight) hashing: each relay ranks all endpoints by a hash of the endpoint's name and the
 * relay's number, and uses the first ones. An endpoint that comes or goes does not change the order of the others, and
 * no relay's ranking depends on how many relays there are. The hash is 64-bit XXH3. Options and figures:
 * docs/design/membership.md.
 */
class RendezvousRanking {
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long relayNumber;

    /**
     * The ranking of one relay.
     *
     * @param relayNumber the relay's own number: relays of the same number have the same ranking
     */
    RendezvousRanking(long relayNumber) {
        this.relayNumber = relayNumber;
    }

    /** The hash of a name in UTF-8; the same for all relays. */
    long hash(byte[] bytes, int from, int length) {
        return HASHER.hashBytesToLong(bytes, from, length);
    }

    /** The hash of a name; the same for all relays. */
    final long hash(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return hash(bytes, 0, bytes.length);
    }

    /** The rank of a name with this hash in the relay's ranking: the lowest comes first. */
    final long rank(long nameHash) {
        return HASHER.hashLongLongToLong(nameHash, relayNumber);
    }

    /** Compares two names by their ranks, and by the names themselves where their ranks are equal. */
    static int compare(long rank, String name, long otherRank, String otherName) {
        return rank == otherRank ? name.compareTo(otherName) : Long.compare(rank, otherRank);
    }
}
