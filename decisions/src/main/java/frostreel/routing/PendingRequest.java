package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Request;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;

/** State of a client's request up to its final response. Times are microseconds on the router's clock. */
final class PendingRequest {
    /** Value of {@link #deduplicationZone} for a request that may go to members of any zone. */
    static final int ANY_ZONE = -1;
    /** Value of {@link #healthCheckWaitUntilUs} for a request that has not waited for a health check. */
    static final long NO_WAIT_YET = 0;
    /** Initial capacity of the list of tried members, so that it need not grow for a typical group. */
    private static final int TYPICAL_GROUP_SIZE = 4;

    /** The request as the client sent it. */
    final Request original;

    final RequestClass requestClass;
    final GroupState group;
    final long arrivedUs;
    /** Whether only the primary can serve it: a write, or a read that must reflect the latest commit. */
    final boolean needsPrimary;

    final int maxAttempts;

    /** Members that were tried in the current round. */
    final ArrayList<MemberState> triedMembers = new ArrayList<>(TYPICAL_GROUP_SIZE);
    /** Member to which an attempt is in flight, or null. */
    MemberState currentMember;

    int attempts;
    long sentAtUs;
    /**
     * Whether the current attempt was sent to a member that is not known to have the required position, so that only
     * its response can show that it has, or that it is the primary.
     */
    boolean sentWithoutProof;
    /** Position that the response to the current attempt has to prove, or {@link Router#NO_POSITION} for none. */
    long unprovenPositionUs = Router.NO_POSITION;
    /** Start time of the current member at the time when the attempt was charged to its slow start. */
    long memberStartedUs;
    /** Time from which that charge is void, so that the attempt must be charged again before it begins. */
    long chargeVoidFromUs;

    /** Whether an attempt that did not serve the request may have run. */
    boolean mayHaveRun;
    /** Time at which the first attempt that may have run was sent. */
    long firstUncertainSendUs;
    /** The only zone whose members know its idempotency key and may run it, or {@link #ANY_ZONE}. */
    int deduplicationZone = ANY_ZONE;

    /** Earliest time of its next attempt. */
    long notBeforeUs;
    /** Time until which it waits for a health check that may prove a replica fresh enough, or {@link #NO_WAIT_YET}. */
    long healthCheckWaitUntilUs = NO_WAIT_YET;
    /** Whether it is in its group's queue of reads; cleared while the queued reads are routed again. */
    boolean inReadQueue;
    /** Whether it has its final response, or its client has disconnected. */
    boolean ended;
    /** Whether its end reflects the group's load: it was shed, served, rejected or timed out. */
    boolean countsForGoodput;

    PendingRequest(Request original, RequestClass requestClass, GroupState group, int maxAttempts, long nowUs) {
        this.original = original;
        this.requestClass = requestClass;
        this.group = group;
        this.maxAttempts = maxAttempts;
        arrivedUs = nowUs;
        needsPrimary = requestClass.access() == Access.WRITE || requestClass.access() == Access.FRESH;
    }

    /** The index of its class in the settings. */
    int classIndex() {
        return original.classIndex();
    }

    /** Whether members of this zone may receive it; those of some zones may not know its idempotency key. */
    boolean mayGoToZone(int zone) {
        return deduplicationZone == ANY_ZONE || zone == deduplicationZone;
    }

    /** The time up to which a response is on time. */
    long onTimeUntilUs() {
        return arrivedUs + requestClass.latencyObjectiveUs();
    }
}
