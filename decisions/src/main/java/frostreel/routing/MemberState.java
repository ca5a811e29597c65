package frostreel.routing;

import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;

/**
 * State of one member of a replica group, from the endpoint list, responses and health checks. Times are
 * microseconds on the router's clock.
 */
final class MemberState {
    /** Time before all others; half the range, so that differences to it do not overflow. */
    static final long DISTANT_PAST = Long.MIN_VALUE / 2;
    /** Evidence time of a role for which there is no evidence yet. */
    static final long NO_ROLE_EVIDENCE = PeerRoles.NO_EVIDENCE;

    /** Value of {@link #goneSinceUs} while the member is on the endpoint list. */
    private static final long LISTED = 0;

    final String id;
    /** Its key in {@link PeerRoles}. */
    final long roleKey;

    final int groupNumber;
    final SlowStart.MemberBudget slowStart;
    final ConcurrencyWindow window = new ConcurrencyWindow();
    final OutlierDetector outliers;
    /** Its handle in the locality policy. */
    final int localityHandle;

    int zone;
    double weight = 1;
    State state = State.UP;
    /** Whether it was ever listed as draining; such a member stays unusable after it leaves the list. */
    boolean wasDraining;
    /**
     * Whether it was on the first list, or has passed a health check or responded other than with an error since. The
     * list may name servers that do not belong to the group.
     */
    boolean verified;
    /** Time at which it left the list, or {@link #LISTED}. */
    private long goneSinceUs = LISTED;

    /** Position: it has applied every commit up to this time. Never decreases. */
    long appliedUpToUs;
    /** Replication lag at the time of its last reported position. */
    long lagUs;

    /** Time of its last reported position. */
    long positionAtUs = DISTANT_PAST;
    /** Time at which it last rejected a read because it was too stale. */
    long staleAtUs = DISTANT_PAST;

    /** Time of the latest evidence that it is the primary; that of a response is its arrival. */
    long primaryAtUs = NO_ROLE_EVIDENCE;

    /** Time of the latest evidence that it is a replica. */
    long replicaAtUs = NO_ROLE_EVIDENCE;

    boolean healthCheckPending;
    long healthCheckAtUs = DISTANT_PAST;

    int inFlight;
    /** Number of open connections, as far as this router can tell. */
    private int connections;

    private long lastUsedAtUs;

    MemberState(String id, int groupNumber, SlowStart.MemberBudget slowStart, int localityHandle, long nowUs) {
        this.id = id;
        roleKey = StableHash.keyOf(id);
        this.groupNumber = groupNumber;
        this.slowStart = slowStart;
        this.localityHandle = localityHandle;
        outliers = new OutlierDetector(nowUs);
    }

    /** Whether the endpoint list permits attempts to it. */
    boolean isUsable(Rules rules) {
        return state == State.UP || (state == State.GONE && rules.goneMembersUsable() && !wasDraining);
    }

    /** Whether an open connection has capacity for one more attempt. */
    boolean hasFreeConnection(long nowUs, Limits limits) {
        return inFlight < connections * limits.requestsPerConnection() && nowUs - lastUsedAtUs < limits.idleTimeoutUs();
    }

    /** Records, after an endpoint list was applied, since when the member has been gone from it. */
    void recordPresence(long nowUs) {
        if (state != State.GONE) {
            goneSinceUs = LISTED;
        } else if (goneSinceUs == LISTED) {
            goneSinceUs = nowUs;
        }
    }

    /**
     * Whether it can be removed: it is gone, has no attempts in flight, and either was never verified or, if gone
     * members are not usable, has been gone for longer than the retention time.
     */
    boolean isRemovable(long nowUs, Rules rules, long retentionUs) {
        if (goneSinceUs == LISTED || inFlight != 0) {
            return false;
        }
        boolean mayServeAgain = rules.goneMembersUsable() || nowUs - goneSinceUs <= retentionUs;
        return !(verified && mayServeAgain);
    }

    /** Records that an attempt is sent, on a free connection or a new one. */
    void recordSend(long nowUs, Limits limits) {
        if (!hasFreeConnection(nowUs, limits)) {
            connections = inFlight / limits.requestsPerConnection() + 1;
        }
        lastUsedAtUs = nowUs;
        inFlight++;
    }

    /** Records that an attempt ended. */
    void recordEnd(long nowUs) {
        inFlight--;
        lastUsedAtUs = nowUs;
    }

    /** Records that connections were lost or refused: only those of the attempts in flight count as open. */
    void recordConnectionLoss() {
        connections = inFlight;
    }

    /** Records its reported position. */
    void recordPosition(long nowUs, long positionUs) {
        appliedUpToUs = Math.max(appliedUpToUs, positionUs);
        lagUs = Math.max(0, nowUs - appliedUpToUs);
        positionAtUs = nowUs;
    }
}
