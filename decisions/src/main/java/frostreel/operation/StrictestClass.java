package frostreel.operation;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.RequestClass;

/**
 * Combines two classes of one name, of which it is not known which one a client follows, into a class that breaks the
 * rules of neither: its requests may be retried only where both allow it, and its reads are as fresh as both require.
 */
final class StrictestClass {
    private StrictestClass() {}

    /**
     * Returns the strictest combination of two classes that both serve a request. Objectives, deadline and weights,
     * which are no rules, are those of the newer one.
     */
    static RequestClass of(RequestClass newer, RequestClass older) {
        RequestClass retried = stricterOnRetries(newer, older);
        RequestClass read = stricterOnFreshness(newer, older);
        return new RequestClass(
                newer.name(),
                read.access(),
                retried.idempotency(),
                retried.deduplicationScope(),
                retried.deduplicationWindowUs(),
                read.stalenessBoundUs(),
                newer.latencyObjectiveUs(),
                newer.deadlineUs(),
                newer.priorityWeight(),
                newer.lateWeight());
    }

    /** Relies on the order of {@link Idempotency}, from freely retryable to not retryable. */
    private static RequestClass stricterOnRetries(RequestClass newer, RequestClass older) {
        int order = newer.idempotency().compareTo(older.idempotency());
        if (order != 0) {
            return order > 0 ? newer : older;
        }
        return newer.idempotency() == Idempotency.KEYED ? stricterOnDeduplication(newer, older) : newer;
    }

    private static RequestClass stricterOnDeduplication(RequestClass newer, RequestClass older) {
        return withDeduplication(
                newer,
                narrowerScope(newer.deduplicationScope(), older.deduplicationScope()),
                Math.min(newer.deduplicationWindowUs(), older.deduplicationWindowUs()));
    }

    /** A request stays in its group, so members of one zone are fewer than those of the group, and these than all. */
    private static DeduplicationScope narrowerScope(DeduplicationScope first, DeduplicationScope second) {
        if (first == DeduplicationScope.ZONE || second == DeduplicationScope.ZONE) {
            return DeduplicationScope.ZONE;
        }
        boolean both = first == DeduplicationScope.ALL && second == DeduplicationScope.ALL;
        return both ? DeduplicationScope.ALL : DeduplicationScope.GROUP;
    }

    private static RequestClass stricterOnFreshness(RequestClass newer, RequestClass older) {
        Access newerAccess = newer.access();
        Access olderAccess = older.access();
        if (newerAccess == olderAccess) {
            return newer.stalenessBoundUs() <= older.stalenessBoundUs() ? newer : older;
        }
        if (newerAccess == Access.ANY || olderAccess == Access.FRESH) {
            return older;
        }
        if (olderAccess == Access.ANY || newerAccess == Access.FRESH) {
            return newer;
        }
        return withAccess(newer, Access.FRESH); // SESSION and BOUNDED: only the primary certainly satisfies both.
    }

    private static RequestClass withDeduplication(RequestClass from, DeduplicationScope scope, long windowUs) {
        return new RequestClass(
                from.name(),
                from.access(),
                from.idempotency(),
                scope,
                windowUs,
                from.stalenessBoundUs(),
                from.latencyObjectiveUs(),
                from.deadlineUs(),
                from.priorityWeight(),
                from.lateWeight());
    }

    private static RequestClass withAccess(RequestClass from, Access access) {
        return new RequestClass(
                from.name(),
                access,
                from.idempotency(),
                from.deduplicationScope(),
                from.deduplicationWindowUs(),
                0,
                from.latencyObjectiveUs(),
                from.deadlineUs(),
                from.priorityWeight(),
                from.lateWeight());
    }
}
