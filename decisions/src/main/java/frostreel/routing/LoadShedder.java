package frostreel.routing;

import frostreel.routing.Router.RequestClass;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * Rejects requests on arrival when members are overloaded and too few of the answers are useful, and ends the
 * request that has waited longest when clients have nearly used up the limit of concurrent requests.
 */
final class LoadShedder {
    /**
     * Part of the limit of concurrent requests from which the longest waiting is ended; below one half, since
     * two processes share the limit during an upgrade.
     */
    private static final double USABLE_LIMIT_SHARE = 0.375;

    private final SplittableRandom random;
    private final ActiveSettings settings;
    /** Twice the span of the rule on members in slow start; read anew each time, as settings may change it. */
    private final LongSupplier spanUs;
    /** Of all groups together. */
    private final Goodput goodput;

    LoadShedder(ActiveSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        spanUs = () -> 2 * settings.rules().fallUs();
        goodput = newGoodput();
    }

    /** The goodput of a further group. */
    Goodput newGoodput() {
        return new Goodput(spanUs);
    }

    /** Whether to reject a request that has just arrived. */
    boolean shouldShed(long nowUs, PendingRequest request) {
        return isOverloaded(request) && random.nextDouble() < request.group.goodput.shedShare(nowUs, goodput);
    }

    /** Whether a member that could serve it is at the smallest window; a slow replica doesn't affect writes. */
    private static boolean isOverloaded(PendingRequest request) {
        GroupState group = request.group;
        return request.needsPrimary
                ? group.primary != null && !group.primarySuspected && group.primary.window.isAtMinimum()
                : group.chain.stream().anyMatch(member -> member.window.isAtMinimum());
    }

    /**
     * A request has ended. Its end doesn't count if load was not the reason: rejecting other requests cures
     * neither errors nor the lack of a primary.
     */
    void recordEnd(long nowUs, PendingRequest request, boolean succeeded) {
        double value = succeeded ? responseValue(nowUs, request) : 0;
        if (!request.ended && (value > 0 || request.countsForGoodput)) {
            goodput.add(nowUs, value);
            request.group.goodput.add(nowUs, value);
        }
    }

    /** The value of an answer that comes now, from 0 to 1. */
    private static double responseValue(long nowUs, PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return nowUs - request.arrivedUs <= requestClass.latencyObjectiveUs() ? 1 : requestClass.lateWeight();
    }

    /** Whether this many concurrent requests are too many to let all of them wait. */
    boolean isNearLimit(int concurrentRequests) {
        int limit = settings.limits().concurrentRequestLimit();
        return limit > 0 && concurrentRequests > USABLE_LIMIT_SHARE * limit;
    }
}
