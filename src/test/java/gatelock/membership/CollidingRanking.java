package gatelock.membership;

/** A ranking with few distinct hashes, so that the hashes of most names collide. */
final class CollidingRanking extends RendezvousRanking {
    private final int distinctHashes;

    CollidingRanking(long relayNumber, int distinctHashes) {
        super(relayNumber);
        this.distinctHashes = distinctHashes;
    }

    @Override
    long hash(byte[] bytes, int from, int length) {
        return super.hash(bytes, from, length) % distinctHashes;
    }
}
