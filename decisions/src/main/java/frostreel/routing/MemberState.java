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

    final String id;
    final int groupNumber;
    final SlowStart.Member slowStart;
    final ConcurrencyWindow window = new ConcurrencyWindow();
    final OutlierDetector outliers;
    /** The name that the locality policy knows it by. */
    final int localityHandle;

    int zone;
    double weight = 1;
    State state = State.UP;
    /** Was listed as draining: it stays out of use even when the list no longer names it. */
    boolean drained;
    /** On the first list, or heard from since; the list may name servers that don't belong to the group. */
    boolean verified;
    /** When it left the list, 0 while it is on it. */
    long goneSinceUs;

    /** It has applied every commit up to this time; never moves back. */
    long appliedUpToUs;
    /** How far its last report was behind, and when that came. */
    long lagUs;

    long positionAtUs = LONG_AGO;
    /** When it last declined a read as too stale for it. */
    long staleAtUs = LONG_AGO;

    /** When it last was known to be primary or replica; an answer counts from its arrival. */
    long primaryAtUs = NEVER;

    long replicaAtUs = NEVER;

    boolean healthCheckPending;
    long healthCheckAtUs = LONG_AGO;

    int inFlight;
    /** Connections that are open as far as this router can tell. */
    private int connections;

    private long lastUsedAtUs;

    MemberState(String id, int groupNumber, SlowStart.Member slowStart, int localityHandle, long nowUs) {
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

    /** Whether it isn't on the list any more, nothing is in flight to it, and it needn't be remembered. */
    boolean isForgettable(long nowUs, Rules rules, long retentionUs) {
        if (state != State.GONE) {
            goneSinceUs = 0;
        } else if (goneSinceUs == 0) {
            goneSinceUs = nowUs;
        }
        boolean kept = verified && (rules.onlyDrainingBinds() || nowUs - goneSinceUs <= retentionUs);
        return goneSinceUs > 0 && inFlight == 0 && !kept;
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

    /** It has told its position. */
    void recordPosition(long nowUs, long positionUs) {
        appliedUpToUs = Math.max(appliedUpToUs, positionUs);
        lagUs = Math.max(0, nowUs - appliedUpToUs);
        positionAtUs = nowUs;
    }
}
