package frostreel.routing;

import frostreel.routing.Router.HealthChecks;

/**
 * What the deployment permits.
 *
 * @param cancel whether attempts may be cancelled
 * @param retryAfterAllowed whether clients receive a Retry-After, of at most {@code maxRetryAfterUs}
 * @param subscribe whether changes of the endpoint list must be subscribed to
 * @param askWithinUs how old a list may be before it counts as known without having been asked for
 * @param holdsForUs how long a member that checks staleness by waiting holds a read
 * @param idleCloseUs after which an idle connection closes
 * @param concurrentRequestLimit how many requests of clients may be open here, 0 where nothing bounds them
 */
public record Limits(
        int maxAttempts,
        HealthChecks healthChecks,
        boolean cancel,
        boolean retryAfterAllowed,
        long maxRetryAfterUs,
        boolean subscribe,
        long askWithinUs,
        long connectTimeoutUs,
        long holdsForUs,
        long idleCloseUs,
        int requestsPerConnection,
        int concurrentRequestLimit) {
    /** Limits without a bound on the open requests of clients. */
    public Limits(
            int maxAttempts,
            HealthChecks healthChecks,
            boolean cancel,
            boolean retryAfterAllowed,
            long maxRetryAfterUs,
            boolean subscribe,
            long askWithinUs,
            long connectTimeoutUs,
            long holdsForUs,
            long idleCloseUs,
            int requestsPerConnection) {
        this(
                maxAttempts,
                healthChecks,
                cancel,
                retryAfterAllowed,
                maxRetryAfterUs,
                subscribe,
                askWithinUs,
                connectTimeoutUs,
                holdsForUs,
                idleCloseUs,
                requestsPerConnection,
                0);
    }

    Limits with(int newMaxAttempts, int newRequestsPerConnection, int newConcurrentRequestLimit) {
        return new Limits(
                newMaxAttempts,
                healthChecks,
                cancel,
                retryAfterAllowed,
                maxRetryAfterUs,
                subscribe,
                askWithinUs,
                connectTimeoutUs,
                holdsForUs,
                idleCloseUs,
                newRequestsPerConnection,
                newConcurrentRequestLimit);
    }
}
