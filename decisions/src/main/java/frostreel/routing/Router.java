package frostreel.routing;

import java.util.List;

/**
 * Interface between the routing decisions and the proxy that embeds them. The proxy passes in settings and events,
 * and carries out the requested {@link Actions}.
 *
 * <p>All times are microseconds on one monotonic clock, passed in with every event. A position is the time up to
 * which a member has applied every commit. A router is confined to one thread, does no I/O and reads no clock;
 * equal events give equal actions.
 */
public interface Router {
    /** Age of the last write of a session that has not written. */
    long NO_WRITE = 0;
    /** Position that was not reported, or is not required. */
    long NO_POSITION = 0;

    /**
     * Time from when a server writes a response to when the response's content counts as known, whether or not the
     * response arrived.
     */
    long KNOWN_AFTER_US = 100_000;

    /**
     * Data that a request class requires: WRITE and FRESH need the primary, SESSION must reflect the writes of its
     * session, BOUNDED accepts data up to a given staleness, and ANY may be served by any member.
     */
    enum Access {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /**
     * Whether a request may be retried after an attempt that may have run: KEYED only while members deduplicate it by
     * its idempotency key.
     */
    enum Idempotency {
        IDEMPOTENT,
        KEYED,
        NON_IDEMPOTENT
    }

    /** Members that deduplicate retries of a keyed request: all, those of one zone, or those of its group. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /**
     * How a member treats a read that requires newer data than it has: SILENT serves it anyway, REFUSE rejects it, and
     * WAIT delays it, then rejects it if the data is still too old.
     */
    enum StalenessCheck {
        SILENT,
        REFUSE,
        WAIT
    }

    /** How the endpoint list tracks roles: some seconds late, only as of its start, or not at all. */
    enum ListRole {
        LATE,
        START,
        SILENT
    }

    /** Source of the last write of a session: carried by its reads, or remembered by the router. */
    enum SessionTracking {
        CARRIED,
        REMEMBERED
    }

    /** Role of a member in its replica group. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** Whether health checks are permitted, and whether they report role and position or only liveness. */
    enum HealthChecks {
        NONE,
        LIVENESS,
        REPORT
    }

    /** State of a member in the endpoint list. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** Kind of an endpoint list update: complete, changes only, complete but possibly stale, or failed. */
    enum ListKind {
        FULL,
        CHANGES,
        CACHED,
        FAILED
    }

    /** Outcome of an attempt. */
    enum Outcome {
        OK(false),
        ERROR(false),
        REJECTED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true),
        WRONG_ROLE_OR_STALE(true);

        /** Whether the attempt was certainly not executed, so that even a non-idempotent request may be retried. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /**
     * A request class.
     *
     * @param deduplicationWindowUs how long members deduplicate a KEYED request, counted from its first attempt that
     *     may have run
     * @param stalenessBoundUs the greatest staleness that a BOUNDED read accepts
     * @param latencyObjectiveUs time from the arrival after which a response is late
     * @param deadlineUs time from the arrival for which clients usually wait for a response
     * @param priorityWeight the value of a response on time, relative to other classes
     * @param lateWeight the value of a late response, as a share from 0 to 1 of the value of one on time
     */
    record RequestClass(
            String name,
            Access access,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            long stalenessBoundUs,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            double lateWeight) {}

    /**
     * Parameters of the rules that every router obeys.
     *
     * @param responseSlackUs how long after its deadline a request may still receive its final response
     * @param stopSendingUs how long after a member was listed as draining or gone attempts may still be sent to it
     * @param goneMembersUsable whether attempts may be sent to members that are gone but were never listed as draining
     * @param initialCapacityShare the least share of its full capacity, from 0 to 1, that a member has when it starts
     * @param warmUpUs how long after its start a member reaches its full capacity
     * @param overloadMultiple a member in slow start is overloaded if the work sent to it within {@code
     *     overloadWindowUs} exceeds this multiple of its capacity
     * @param overloadWindowUs the time over which that work is added up
     */
    record Rules(
            long responseSlackUs,
            long stopSendingUs,
            boolean goneMembersUsable,
            double initialCapacityShare,
            long warmUpUs,
            double overloadMultiple,
            long overloadWindowUs) {
        /** The least share of its full capacity, up to 1, that a member started at {@code startedUs} has now. */
        double capacityShare(long nowUs, long startedUs) {
            double ageUs = startedUs == Member.NO_START_TIME ? warmUpUs : Math.max(0, nowUs - startedUs);
            if (ageUs >= warmUpUs) {
                return 1;
            }
            return initialCapacityShare + (1 - initialCapacityShare) * ageUs / warmUpUs;
        }
    }

    /**
     * Settings of one router.
     *
     * @param seed the seed of its random choices
     * @param instances the number of routers, 0 if unknown
     * @param zone the zone of the router
     * @param tickUs the shortest interval between events
     * @param responsesCarryPositions whether every response carries a position
     */
    record Settings(
            long seed,
            int instances,
            int zone,
            long tickUs,
            List<RequestClass> classes,
            StalenessCheck stalenessCheck,
            ListRole listRole,
            SessionTracking sessionTracking,
            boolean responsesCarryPositions,
            Limits limits,
            Rules rules) {
        /** A copy with other classes and another limit of attempts. */
        public Settings with(List<RequestClass> newClasses, int maxAttempts) {
            return with(newClasses, limits.toBuilder().maxAttempts(maxAttempts).build());
        }

        /** A copy for socket connections: one attempt at a time on each, and a limit of open client requests. */
        public Settings withSocketLimits(int concurrentRequestLimit) {
            return with(
                    classes,
                    limits.toBuilder()
                            .requestsPerConnection(1)
                            .concurrentRequestLimit(concurrentRequestLimit)
                            .build());
        }

        private Settings with(List<RequestClass> newClasses, Limits newLimits) {
            return new Settings(
                    seed,
                    instances,
                    zone,
                    tickUs,
                    newClasses,
                    stalenessCheck,
                    listRole,
                    sessionTracking,
                    responsesCarryPositions,
                    newLimits,
                    rules);
        }
    }

    /**
     * An entry of the endpoint list.
     *
     * @param kind the kind of machine; members of one kind have equal capacity for equal weight
     * @param startedUs the time at which it started, or {@link #NO_START_TIME}
     */
    record Member(
            String id, int zone, int kind, int group, boolean primary, State state, double weight, long startedUs) {
        /** Start time of a member for which the list gives none; it counts as warmed up. */
        public static final long NO_START_TIME = 0;
    }

    /**
     * A client's request.
     *
     * @param classIndex the index of its class in the settings
     * @param sinceWriteUs the age of its session's last write, or {@link #NO_WRITE}
     * @param repeated whether the client marked it as a retry
     */
    record Request(
            String id, int classIndex, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}

    /**
     * Load report of a member, some time after it was made. A missing value is NaN, a missing position {@link
     * #NO_POSITION}.
     *
     * @param utilization the used share, from 0 to 1, of its present capacity
     * @param inProgress the number of requests that it is executing
     */
    record Report(long positionUs, Role role, double utilization, double queued, double inProgress) {}

    /**
     * Replaces the settings for future requests. The new classes must begin with the present ones, so that a class
     * keeps its index. Open requests keep their class and their limit of attempts.
     */
    void onSettings(Settings settings);

    /** A request arrived. It receives exactly one final response. */
    void onRequest(long nowUs, Request request);

    /**
     * An attempt ended.
     *
     * @param closed whether the request has its final response
     * @param role the role that the member reported, or UNKNOWN
     * @param positionUs the position that the member reported, or {@link #NO_POSITION}
     * @param report the load report of the member, or null
     */
    void onOutcome(
            long nowUs,
            String requestId,
            int attempt,
            String memberId,
            Outcome outcome,
            boolean closed,
            long tookUs,
            Role role,
            long positionUs,
            Report report);

    /**
     * Whether an attempt that waited for its connection may still begin. Called immediately before its first byte is
     * written, because the member may have become too stale in the meantime. If not, the attempt ends as NOT_SENT.
     */
    boolean mayStillBegin(long nowUs, String requestId);

    /**
     * Whether the response to the current attempt of a request may be passed on to its client. Called before that; if
     * not, the response is dropped, since its data may be too old, and the attempt ends without having served the
     * request. Always in a pooler that never has a second process: what it was told is all that counts there. For a
     * response that is passed on before its end, role and position are not known yet.
     *
     * @param role the role that the member reported, or UNKNOWN
     * @param positionUs the position that the member reported, or {@link #NO_POSITION}
     */
    default boolean mayServe(long nowUs, String requestId, Role role, long positionUs) {
        return true;
    }

    /**
     * A response that was passed on before its end has ended, and its member has reported role and position, which
     * {@link #onOutcome} could not tell.
     *
     * @param role the role that the member reported, or UNKNOWN
     * @param positionUs the position that the member reported, or {@link #NO_POSITION}
     */
    default void onLongResponseEnded(long nowUs, String memberId, Role role, long positionUs) {}

    /** An endpoint list arrived, or its update failed. */
    void onMembers(long nowUs, ListKind kind, List<Member> members);

    /** A health check ended; {@code report} is null if the member sent none. */
    void onHealthCheck(long nowUs, String memberId, boolean ok, long tookUs, Report report);

    /** A timer fired. */
    void onTimer(long nowUs, String name);

    /** The client of a request disconnected; the request needs no response any more. */
    void onClientDisconnected(long nowUs, String requestId);

    /** Actions that the router requests from the embedding proxy. */
    interface Actions {
        /** Retry-After of a rejection that carries none. */
        long NO_RETRY_AFTER = 0;

        /** Starts an attempt. The attempts of a request are numbered from 0 in the order of these calls. */
        void send(String requestId, String memberId, long timeoutUs);

        /**
         * Sends the final response that nothing was executed or a retry is harmless, with a Retry-After unless that is
         * {@link #NO_RETRY_AFTER}.
         */
        void reject(String requestId, long retryAfterUs);

        /** Sends the final response that the request may or may not have been executed. */
        void fail(String requestId);

        /** Cancels an attempt that is in flight. */
        void cancel(String requestId, int attempt);

        /** Starts a health check. */
        void checkHealth(String memberId);

        /** Sets a one-shot timer of this name. */
        void setTimer(long inUs, String name);

        /** Writes a line to the log. */
        void log(String text);

        /** Asks the discovery service to push changes of the endpoint list. */
        void subscribe();
    }
}
