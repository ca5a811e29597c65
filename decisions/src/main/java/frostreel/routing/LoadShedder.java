package frostreel.routing;

import frostreel.routing.Router.RequestClass;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * Decides which requests to reject on arrival while members are overloaded and too few responses are useful, and
 * whether the limit of concurrent requests is so nearly used up that the longest-waiting one must end.
 */
final class LoadShedder {
    /**
     * Share of the limit of concurrent requests above which the longest-waiting request is ended. Below one half, since
     * two processes share the limit during an upgrade.
     */
    private static final double USABLE_LIMIT_SHARE = 0.375;

    private final SplittableRandom random;
    private final ActiveSettings settings;
    /**
     * Time constant of the goodput, in microseconds: twice the overload window. Read at each use, since settings may
     * change it.
     */
    private final LongSupplier spanUs;
    /** Goodput of all groups together. */
    private final Goodput goodput;

    LoadShedder(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        spanUs = () -> 2 * settings.rules().overloadWindowUs();
        goodput = newGoodput();
    }

    /** Creates the goodput of another group. */
    Goodput newGoodput() {
        return new Goodput(spanUs);
    }

    /** Whether to reject a request that has just arrived. */
    boolean shouldShed(long nowUs, PendingRequest request) {
        return isOverloaded(request) && random.nextDouble() < request.group.goodput.shedShare(nowUs, goodput);
    }

    /**
     * Whether the window of a member that could serve the request is at its minimum. For a request that needs the
     * primary only the primary counts, so that a slow replica does not affect writes.
     */
    private static boolean isOverloaded(PendingRequest request) {
        GroupState group = request.group;
        return request.needsPrimary
                ? group.primary != null && !group.primarySuspected && group.primary.window.isAtMinimum()
                : group.chain.stream().anyMatch(member -> member.window.isAtMinimum());
    }

    /**
     * Records the end of a request. It does not count unless load was its cause: rejecting other requests cures neither
     * errors nor the lack of a primary.
     */
    void recordEnd(long nowUs, PendingRequest request, boolean succeeded) {
        double value = succeeded ? responseValue(nowUs, request) : 0;
        if (!request.ended && (value > 0 || request.countsForGoodput)) {
            goodput.add(nowUs, value);
            request.group.goodput.add(nowUs, value);
        }
    }

    /** Returns the value of a response that arrives now, from 0 to 1. */
    private static double responseValue(long nowUs, PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return nowUs - request.arrivedUs <= requestClass.latencyObjectiveUs() ? 1 : requestClass.lateWeight();
    }

    /** Whether this number of concurrent requests is too high for all of them to wait. */
    boolean isNearLimit(int concurrentRequests) {
        int limit = settings.limits().concurrentRequestLimit();
        return limit > 0 && concurrentRequests > USABLE_LIMIT_SHARE * limit;
    }
}
