package frostreel.routing;

import frostreel.routing.Router.HealthChecks;

/** Limits and permissions of a deployment. {@link Builder} documents each component at the method that sets it. */
public record Limits(
        int maxAttempts,
        HealthChecks healthChecks,
        boolean cancel,
        boolean retryAfterAllowed,
        long maxRetryAfterUs,
        boolean subscribe,
        long maxListAgeUs,
        long connectTimeoutUs,
        long staleReadWaitUs,
        long idleTimeoutUs,
        int requestsPerConnection,
        int concurrentRequestLimit) {
    /** Value of {@link #concurrentRequestLimit} if the open requests of clients are not limited. */
    public static final int UNLIMITED = 0;

    /** Returns a builder that permits one attempt per request, and nothing else. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with these limits. */
    public Builder toBuilder() {
        return new Builder()
                .maxAttempts(maxAttempts)
                .healthChecks(healthChecks)
                .cancel(cancel)
                .retryAfterAllowed(retryAfterAllowed)
                .maxRetryAfterUs(maxRetryAfterUs)
                .subscribe(subscribe)
                .maxListAgeUs(maxListAgeUs)
                .connectTimeoutUs(connectTimeoutUs)
                .staleReadWaitUs(staleReadWaitUs)
                .idleTimeoutUs(idleTimeoutUs)
                .requestsPerConnection(requestsPerConnection)
                .concurrentRequestLimit(concurrentRequestLimit);
    }

    /** Builder of limits, as a constructor call with twelve arguments would be hard to read. */
    public static final class Builder {
        private int maxAttempts = 1;
        private HealthChecks healthChecks = HealthChecks.NONE;
        private boolean cancel;
        private boolean retryAfterAllowed;
        private long maxRetryAfterUs;
        private boolean subscribe;
        private long maxListAgeUs;
        private long connectTimeoutUs;
        private long staleReadWaitUs;
        private long idleTimeoutUs;
        private int requestsPerConnection = 1;
        private int concurrentRequestLimit = UNLIMITED;

        private Builder() {}

        /** Maximum number of attempts per request, including the first. */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /** Whether health checks are permitted, and what they report. */
        public Builder healthChecks(HealthChecks value) {
            healthChecks = value;
            return this;
        }

        /** Whether attempts in flight may be cancelled. */
        public Builder cancel(boolean value) {
            cancel = value;
            return this;
        }

        /** Whether rejections may carry a Retry-After. */
        public Builder retryAfterAllowed(boolean value) {
            retryAfterAllowed = value;
            return this;
        }

        /** Longest Retry-After that a client may receive. */
        public Builder maxRetryAfterUs(long value) {
            maxRetryAfterUs = value;
            return this;
        }

        /** Whether endpoint list updates must be subscribed to. */
        public Builder subscribe(boolean value) {
            subscribe = value;
            return this;
        }

        /** Age up to which an unsolicited endpoint list counts as known; no decision depends on it. */
        public Builder maxListAgeUs(long value) {
            maxListAgeUs = value;
            return this;
        }

        /** Timeout of a connection attempt to a member. */
        public Builder connectTimeoutUs(long value) {
            connectTimeoutUs = value;
            return this;
        }

        /** How long a member whose {@link Router.StalenessCheck} is WAIT delays a read that it is too stale for. */
        public Builder staleReadWaitUs(long value) {
            staleReadWaitUs = value;
            return this;
        }

        /** Idle time after which a connection to a member is closed. */
        public Builder idleTimeoutUs(long value) {
            idleTimeoutUs = value;
            return this;
        }

        /** Maximum number of requests in flight on one connection to a member. */
        public Builder requestsPerConnection(int value) {
            requestsPerConnection = value;
            return this;
        }

        /** Maximum number of open client requests, or {@link Limits#UNLIMITED}. */
        public Builder concurrentRequestLimit(int value) {
            concurrentRequestLimit = value;
            return this;
        }

        /** Returns the limits. */
        public Limits build() {
            return new Limits(
                    maxAttempts,
                    healthChecks,
                    cancel,
                    retryAfterAllowed,
                    maxRetryAfterUs,
                    subscribe,
                    maxListAgeUs,
                    connectTimeoutUs,
                    staleReadWaitUs,
                    idleTimeoutUs,
                    requestsPerConnection,
                    concurrentRequestLimit);
        }
    }
}
