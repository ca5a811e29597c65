package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Request;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;

/** A client's request until its final answer, with its attempts. Times are microseconds on the router's clock. */
final class PendingRequest {
    /** The key of the request may be known in any zone, as no attempt may have run yet. */
    static final int ANY_ZONE = -1;
    /** It has not had to wait for a health check so far. */
    static final long NO_WAIT_YET = 0;
    /** Room for the members of a usual group, so that the list need not grow. */
    private static final int TYPICAL_GROUP_SIZE = 4;

    /** The request as the client sent it. */
    final Request original;

    final RequestClass requestClass;
    final GroupState group;
    final long arrivedUs;
    /** Only the primary can serve it: a write, or a read that must see the latest commit. */
    final boolean needsPrimary;

    final int maxAttempts;

    /** The members that were tried in this round. */
    final ArrayList<MemberState> triedMembers = new ArrayList<>(TYPICAL_GROUP_SIZE);
    /** Where an attempt is in flight, null if none is. */
    MemberState currentMember;

    int attempts;
    long sentAtUs;
    /** The start of the current member, as it was known when the attempt was charged to its slow start. */
    long memberStartedUs;

    /** An attempt may have run although its answer did not come. */
    boolean mayHaveRun;
    /** When the first attempt was sent that may have run. */
    long firstUncertainSendUs;
    /** The one zone whose members know its idempotency key, {@link #ANY_ZONE} while it may go anywhere. */
    int deduplicationZone = ANY_ZONE;

    /** Its next attempt may not start before this time. */
    long notBeforeUs;
    /** Until when it waits for a health check that may prove a replica fresh enough, or {@link #NO_WAIT_YET}. */
    long healthCheckWaitUntilUs = NO_WAIT_YET;
    /** Whether it is among the waiting reads; cleared while they are routed again. */
    boolean inReadQueue;
    /** It has its final answer, or its client is gone. */
    boolean ended;
    /** Its end depends on the group's load: it was shed, answered, rejected or timed out. */
    boolean countsForGoodput;

    PendingRequest(Request original, RequestClass requestClass, GroupState group, int maxAttempts, long nowUs) {
        this.original = original;
        this.requestClass = requestClass;
        this.group = group;
        this.maxAttempts = maxAttempts;
        arrivedUs = nowUs;
        needsPrimary = requestClass.access() == Access.WRITE || requestClass.access() == Access.FRESH;
    }

    /** The number of its class in the settings. */
    int classIndex() {
        return original.classIndex();
    }

    /** Whether it may be sent to members of this zone: those of other zones may not know its idempotency key. */
    boolean mayGoToZone(int zone) {
        return deduplicationZone == ANY_ZONE || zone == deduplicationZone;
    }

    /** The time up to which an answer counts as on time. */
    long onTimeUntilUs() {
        return arrivedUs + requestClass.latencyObjectiveUs();
    }
}
