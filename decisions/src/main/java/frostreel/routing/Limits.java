package frostreel.routing;

import frostreel.routing.Router.HealthChecks;

/** What the deployment permits. Each component is described at the method of {@link Builder} that sets it. */
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
    /** The {@link #concurrentRequestLimit} of a deployment that does not bound the open requests of clients. */
    public static final int UNLIMITED = 0;

    /** Starts from a deployment that permits one attempt for each request, and nothing else. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts from these limits. */
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

    /** Builds limits by name: a call with twelve figures in a row could not be read. */
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

        /** How many attempts a request may have, counting the first. */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /** Whether members may be health-checked, and what such a check reports. */
        public Builder healthChecks(HealthChecks value) {
            healthChecks = value;
            return this;
        }

        /** Whether an attempt that is in flight may be cancelled. */
        public Builder cancel(boolean value) {
            cancel = value;
            return this;
        }

        /** Whether rejected clients receive a Retry-After. */
        public Builder retryAfterAllowed(boolean value) {
            retryAfterAllowed = value;
            return this;
        }

        /** The longest Retry-After that a client may receive. */
        public Builder maxRetryAfterUs(long value) {
            maxRetryAfterUs = value;
            return this;
        }

        /** Whether changes of the endpoint list have to be subscribed to. */
        public Builder subscribe(boolean value) {
            subscribe = value;
            return this;
        }

        /** How old an endpoint list may be and still count as known without having been asked for. */
        public Builder maxListAgeUs(long value) {
            maxListAgeUs = value;
            return this;
        }

        /** How long connecting to a member may take. */
        public Builder connectTimeoutUs(long value) {
            connectTimeoutUs = value;
            return this;
        }

        /** How long a member that checks staleness by waiting holds a read. */
        public Builder staleReadWaitUs(long value) {
            staleReadWaitUs = value;
            return this;
        }

        /** After how long without use a connection is closed. */
        public Builder idleTimeoutUs(long value) {
            idleTimeoutUs = value;
            return this;
        }

        /** How many requests one connection to a member carries at a time. */
        public Builder requestsPerConnection(int value) {
            requestsPerConnection = value;
            return this;
        }

        /** How many client requests may be open here, or {@link Limits#UNLIMITED}. */
        public Builder concurrentRequestLimit(int value) {
            concurrentRequestLimit = value;
            return this;
        }

        /** The limits as they were set. */
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
