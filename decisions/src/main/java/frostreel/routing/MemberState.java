package frostreel.routing;

import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;

/**
 * What is known of one member of a replica group from the endpoint list, from answers and from health checks.
 * Times are microseconds on the router's clock.
 */
final class MemberState {
    /** A time before all others; half the range, so that differences to it don't overflow. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;
    /** No evidence of a role yet. */
    static final long NEVER = -1;

    private static final long LISTED = 0;

    final String id;
    final int groupNumber;
    final SlowStart.MemberBudget slowStart;
    final ConcurrencyWindow window = new ConcurrencyWindow();
    final OutlierDetector outliers;
    /** Its handle at the locality policy. */
    final int localityHandle;

    int zone;
    double weight = 1;
    State state = State.UP;
    /** It was listed as draining once: it stays out of use even when the list no longer names it. */
    boolean drained;
    /** It was on the first list or has answered since; the list may name servers that don't belong to the group. */
    boolean verified;
    /** When it left the list, {@link #LISTED} while it is on it. */
    private long goneSinceUs = LISTED;

    /** It has applied every commit up to this time; never moves back. */
    long appliedUpToUs;
    /** How far it was behind by the last position that it reported. */
    long lagUs;

    /** When it last reported its position. */
    long positionAtUs = LONG_AGO;
    /** When it last declined a read as too stale for it. */
    long staleAtUs = LONG_AGO;

    /** When it last was known to be the primary; an answer counts from its arrival. */
    long primaryAtUs = NEVER;

    /** When it last was known to be a replica. */
    long replicaAtUs = NEVER;

    boolean healthCheckPending;
    long healthCheckAtUs = LONG_AGO;

    int inFlight;
    /** Connections that are open as far as this router can tell. */
    private int connections;

    private long lastUsedAtUs;

    MemberState(String id, int groupNumber, SlowStart.MemberBudget slowStart, int localityHandle, long nowUs) {
        this.id = id;
        this.groupNumber = groupNumber;
        this.slowStart = slowStart;
        this.localityHandle = localityHandle;
        outliers = new OutlierDetector(nowUs);
    }

    /** Whether requests may be sent to it by the endpoint list. */
    boolean isUsable(Rules rules) {
        return state == State.UP || (state == State.GONE && rules.onlyDrainingBinds() && !drained);
    }

    /** Whether an attempt would find an open connection with room for it. */
    boolean hasFreeConnection(long nowUs, Limits limits) {
        return inFlight < connections * limits.requestsPerConnection() && nowUs - lastUsedAtUs < limits.idleCloseUs();
    }

    /** An endpoint list was applied: notes since when the member is missing from it. */
    void recordPresence(long nowUs) {
        if (state != State.GONE) {
            goneSinceUs = LISTED;
        } else if (goneSinceUs == LISTED) {
            goneSinceUs = nowUs;
        }
    }

    /** Whether it is gone from the list, nothing is in flight to it, and it need not be remembered. */
    boolean isForgettable(long nowUs, Rules rules, long retentionUs) {
        if (goneSinceUs == LISTED || inFlight != 0) {
            return false;
        }
        boolean mayServeAgain = rules.onlyDrainingBinds() || nowUs - goneSinceUs <= retentionUs;
        return !(verified && mayServeAgain);
    }

    /** An attempt goes out, on a free connection or on a new one. */
    void recordSend(long nowUs, Limits limits) {
        if (!hasFreeConnection(nowUs, limits)) {
            connections = inFlight / limits.requestsPerConnection() + 1;
        }
        lastUsedAtUs = nowUs;
        inFlight++;
    }

    /** An attempt has ended. */
    void recordEnd(long nowUs) {
        inFlight--;
        lastUsedAtUs = nowUs;
    }

    /** Connections were lost or refused: only those of the attempts in flight remain. */
    void recordConnectionLoss() {
        connections = inFlight;
    }

    /** It has reported its position. */
    void recordPosition(long nowUs, long positionUs) {
        appliedUpToUs = Math.max(appliedUpToUs, positionUs);
        lagUs = Math.max(0, nowUs - appliedUpToUs);
        positionAtUs = nowUs;
    }
}
