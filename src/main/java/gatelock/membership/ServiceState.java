package gatelock.membership;

import java.util.ArrayList;
import java.util.List;

/** What the subset knows of one service. Services are ordered by the relay's ranking of their names. */
final class ServiceState implements Comparable<ServiceState> {
    private final String name;
    private final long rank;
    /** The service's endpoints in the subset, in the order in which they were added. */
    final List<SubsetMember> members = new ArrayList<>();
    /** How far the ranking was searched for replacements of silent endpoints. */
    final SearchPosition search = new SearchPosition();
    /** The search came to the end of the ranking: there is no more to find while one endpoint answers. */
    boolean searchExhausted;
    /** Endpoints the service would have in the subset if {@code maxEndpoints} left room for all services. */
    int need;
    /** Whether the service has one of the places, where there are more services than places. */
    boolean hasPlace;
    /** The preferred endpoints have to be selected again. */
    boolean needsSelection = true;
    /**
     * A preferred endpoint had to leave while it was silent. Preferred endpoints that are added count as silent then,
     * until they answer.
     */
    boolean preferredInDoubt;
    /** When preferred endpoints that had to leave are added again. */
    long recoversAtUs = SettleTimer.NEVER;

    /** A service without endpoints; the rank is that of its name. */
    ServiceState(String name, long rank) {
        this.name = name;
        this.rank = rank;
    }

    String name() {
        return name;
    }

    /** Whether replacements of silent endpoints are being tried. */
    boolean isReplacing() {
        return search.started() || preferredInDoubt;
    }

    /** Whether an endpoint in the subset is ready and answers. */
    boolean hasUsableMember() {
        return members.stream().anyMatch(SubsetMember::isUsable);
    }

    /** Number of its endpoints in the subset that are ready. */
    int readyMembers() {
        return (int) members.stream().filter(SubsetMember::isReady).count();
    }

    /** Number of its endpoints in the subset that are preferred. */
    int preferredMembers() {
        return (int) members.stream().filter(SubsetMember::isPreferred).count();
    }

    @Override
    public int compareTo(ServiceState other) {
        return RendezvousRanking.compare(rank, name, other.rank, other.name);
    }
}
