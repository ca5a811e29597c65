package frostreel.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one replica group: its members, its primary and the search for one. Times are microseconds on the
 * router's clock.
 */
final class GroupState {
    /** No health check was started for a read since one last ended in the group: the next may start at once. */
    static final long NO_FRESHNESS_CHECK = 0;

    final int number;
    /** Failover chain: the members ordered by id, as in every router. */
    final List<MemberState> chain = new ArrayList<>();
    /** Rates of ended and of useful requests. */
    final Goodput goodput;

    /** The primary, or null if it is not known. */
    MemberState primary;
    /** Time of the latest evidence for the primary; older evidence is ignored. */
    long primaryAtUs = MemberState.NO_ROLE_EVIDENCE;
    /** Whether a response of the primary confirmed its role, which outranks reports and the endpoint list. */
    boolean primaryConfirmed;
    /** Whether the primary has been silent for too long; only trial requests are sent to it. */
    boolean primarySuspected;
    /** Whether a full round of members found no primary; writes stay queued until one is known. */
    boolean writesBlocked;

    /** The last known or listed primary, which a write tries first while the primary is not known. */
    MemberState firstCandidate;
    /** Index of the next member to probe, to be taken modulo the length of the chain. */
    int nextProbeIndex;

    long lastProbeUs;
    /** Time of the last trial request to a suspected primary. */
    long lastTrialUs;

    /** Whether a read is in flight to a member that is not known to be fresh enough, as the primary is not known. */
    boolean readWithoutProofInFlight;
    /** Time before which no further such read is sent. */
    long noReadWithoutProofBeforeUs;

    /** The replica for this group's long-running reads. */
    MemberState longQueryReplica;
    /** Time of the last health check for a read that needs a fresh replica, or {@link #NO_FRESHNESS_CHECK}. */
    long lastFreshnessCheckUs = NO_FRESHNESS_CHECK;
    /** Offset of the replica that the next read considers first. */
    int rotation;
    /** Number of attempts sent on open connections since the last that needed a new one. */
    int sendsSinceConnect;

    GroupState(int number, Goodput goodput) {
        this.number = number;
        this.goodput = goodput;
    }

    /** Inserts a member into the failover chain, ordered by id. */
    void insert(MemberState member) {
        int index = 0;
        while (index < chain.size() && chain.get(index).id.compareTo(member.id) < 0) {
            index++;
        }
        chain.add(index, member);
    }
}
