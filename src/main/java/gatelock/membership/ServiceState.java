package gatelock.membership;

import java.util.ArrayList;
import java.util.List;

/** The state of one service in the subset. Services are ordered by the relay's ranking of their names. */
final class ServiceState implements Comparable<ServiceState> {
    private final String name;
    private final long rank;
    /** The service's endpoints in the subset, in the order in which they were added. */
    final List<SubsetMember> members = new ArrayList<>();
    /** The position that the search for replacements of silent endpoints has reached in the ranking. */
    final SearchPosition search = new SearchPosition();
    /**
     * Whether the search for replacements reached the end of the ranking. It is not repeated while at least one member
     * is usable.
     */
    boolean searchExhausted;
    /** How many endpoints the service would have in the subset if {@code maxEndpoints} sufficed for all services. */
    int need;
    /** Whether the service has been assigned a slot; only used while there are more services than slots. */
    boolean hasSlot;
    /** Whether the preferred endpoints have to be selected again. */
    boolean needsSelection = true;
    /**
     * Whether a preferred member was evicted while it was silent. Preferred endpoints that are added while this is set
     * count as silent until they answer.
     */
    boolean preferredPresumedSilent;
    /** When missing preferred endpoints are added again; {@link SettleTimer#NEVER} if this is not scheduled. */
    long recoveryDueUs = SettleTimer.NEVER;

    /** Creates the state of a service without members; the rank is that of its name. */
    ServiceState(String name, long rank) {
        this.name = name;
        this.rank = rank;
    }

    /** Returns the name of the service. */
    String name() {
        return name;
    }

    /** Returns whether silent endpoints are being replaced. */
    boolean isReplacing() {
        return search.started() || preferredPresumedSilent;
    }

    /** Returns whether any member is ready and not silent. */
    boolean hasUsableMember() {
        return members.stream().anyMatch(SubsetMember::isUsable);
    }

    /** Returns the number of members that are ready. */
    int readyMemberCount() {
        return (int) members.stream().filter(SubsetMember::isReady).count();
    }

    /** Returns the number of members that are preferred. */
    int preferredMemberCount() {
        return (int) members.stream().filter(SubsetMember::isPreferred).count();
    }

    @Override
    public int compareTo(ServiceState other) {
        return RendezvousRanking.compare(rank, name, other.rank, other.name);
    }
}
