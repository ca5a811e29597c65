package frostreel.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of one replica group: its members, its primary and the progress of the search for one. Times
 * are microseconds on the router's clock.
 */
final class GroupState {
    /** No health check was made for a read since the last one was answered: the next may be made at once. */
    static final long NO_FRESHNESS_CHECK = 0;

    final int number;
    /** The failover chain: the members in the order of their ids, the same for every router. */
    final List<MemberState> chain = new ArrayList<>();
    /** The requests that ended recently, and how many of them were useful. */
    final Goodput goodput;

    /** The member last known as primary, null while none is. */
    MemberState primary;
    /** When the primary was last heard as such. */
    long primaryAtUs = MemberState.NO_ROLE_EVIDENCE;
    /** Whether the primary is known by an answer of its own, which outranks reports and the list. */
    boolean primaryConfirmed;
    /** The primary has been silent for too long: only trial writes are sent to it. */
    boolean primarySuspected;
    /** No member took a write in a full round: writes wait unsent until a member answers as primary. */
    boolean writesBlocked;

    /** The member that a write without a known primary tries first. */
    MemberState firstCandidate;
    /** The position in the chain of the next member that the search looks at. */
    int nextProbeIndex;

    long lastProbeUs;
    /** When a request was last tried on a suspected primary. */
    long lastTrialUs;

    /** Where this group's long-running reads go. */
    MemberState longQueryReplica;
    /** When a health check was last made for a read that needs a fresh replica, or {@link #NO_FRESHNESS_CHECK}. */
    long lastFreshnessCheckUs = NO_FRESHNESS_CHECK;
    /** Shifts the member that reads look at first. */
    int rotation;
    /** Requests sent on open connections since the last that needed a new one. */
    int sendsSinceConnect;

    GroupState(int number, Goodput goodput) {
        this.number = number;
        this.goodput = goodput;
    }

    /** Inserts a member into the failover chain, at its place in the order of ids. */
    void insert(MemberState member) {
        int index = 0;
        while (index < chain.size() && chain.get(index).id.compareTo(member.id) < 0) {
            index++;
        }
        chain.add(index, member);
    }
}
