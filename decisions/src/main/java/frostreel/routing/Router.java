package frostreel.routing;

import java.util.List;

/**
 * The routing decisions, as a proxy that embeds them sees them: it hands in settings and events, and carries out
 * the {@link Actions} that it is asked for.
 *
 * <p>All times are microseconds on one clock that only advances, handed in with every event; a position is the
 * time up to which a member has applied every commit. A router is used by one thread, does no I/O and reads no
 * clock; equal events give equal actions.
 */
public interface Router {
    /** In place of the age of a session's last write: it has not written. */
    long NO_WRITE = 0;
    /** In place of a position: none was reported, or none is required. */
    long NO_POSITION = 0;

    /** The content of an answer counts as known this long after it was written, whether or not the answer arrived. */
    long KNOWN_AFTER_US = 100_000;

    /**
     * What data a class of requests needs: WRITE and FRESH go to the primary, SESSION must see the writes of its
     * session, BOUNDED data no older than a bound, and ANY may be answered by any member.
     */
    enum Access {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /** Whether a request may be retried after an attempt that may have run: KEYED only with its idempotency key. */
    enum Idempotency {
        IDEMPOTENT,
        KEYED,
        NON_IDEMPOTENT
    }

    /** Which members deduplicate retries of a keyed request: all, those of one zone, or those of its group. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /** What a member does with a read that it is too stale for: answer all the same, reject, or wait and reject. */
    enum StalenessCheck {
        SILENT,
        REFUSE,
        WAIT
    }

    /** How the endpoint list tracks roles: some seconds late, as at its start for ever, or not at all. */
    enum ListRole {
        LATE,
        START,
        SILENT
    }

    /** Where the last write of a session is known from: carried by its reads, or remembered by the router. */
    enum SessionTracking {
        CARRIED,
        REMEMBERED
    }

    /** The role of a member in its group. */
    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** Whether health checks are permitted, and whether they report role and position or only that a member runs. */
    enum HealthChecks {
        NONE,
        LIVENESS,
        REPORT
    }

    /** The state of a member by the endpoint list. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** An endpoint list: complete, only what changed, complete but possibly stale, or a failed update. */
    enum ListKind {
        FULL,
        CHANGES,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
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

        /** Whether it proves that the attempt was not executed: even a non-idempotent request may be retried then. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindowUs how long after a first attempt that may have run a KEYED request is deduplicated
     * @param stalenessBoundUs the greatest staleness that a BOUNDED read accepts
     * @param latencyObjectiveUs from the arrival; an answer after it is late
     * @param deadlineUs how long after the arrival clients usually wait for an answer
     * @param priorityWeight the value of an answer in time, relative to those of other classes
     * @param lateWeight the value of a late answer, as a share from 0 to 1 of one in time
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
     * The figures of the rules that every router keeps.
     *
     * @param responseSlackUs how long after its deadline the final answer to a request still counts
     * @param stopSendingUs how long after a member was listed as draining or gone the last request may be sent to it
     * @param goneMembersUsable whether members that are gone, but were never listed as draining, may be sent to
     * @param initialCapacityShare the least share from 0 to 1 of its capacity that a member starts with
     * @param warmUpUs how long after its start a member has all its capacity
     * @param overloadMultiple a starting member collapses if it is sent this multiple of its capacity over {@code
     *     overloadWindowUs}
     */
    record Rules(
            long responseSlackUs,
            long stopSendingUs,
            boolean goneMembersUsable,
            double initialCapacityShare,
            long warmUpUs,
            double overloadMultiple,
            long overloadWindowUs) {
        /** The least share of its capacity, to 1, that a member has now that started then. */
        double capacityShare(long nowUs, long startedUs) {
            double ageUs = startedUs == Member.NO_START_TIME ? warmUpUs : Math.max(0, nowUs - startedUs);
            if (ageUs >= warmUpUs) {
                return 1;
            }
            return initialCapacityShare + (1 - initialCapacityShare) * ageUs / warmUpUs;
        }
    }

    /**
     * The settings of one router.
     *
     * @param seed determines its random choices
     * @param instances how many routers there are, 0 where that is not known
     * @param zone the zone of the router
     * @param tickUs the shortest interval at which events are handed in
     * @param responsesCarryPositions whether every answer carries a position
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
        /** The same settings with other classes and another number of attempts. */
        public Settings with(List<RequestClass> newClasses, int maxAttempts) {
            return with(newClasses, limits.toBuilder().maxAttempts(maxAttempts).build());
        }

        /** The same settings on sockets: one attempt at a time a connection, and a limit of clients' requests. */
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
     * @param startedUs when it started, or {@link #NO_START_TIME}
     */
    record Member(
            String id, int zone, int kind, int group, boolean primary, State state, double weight, long startedUs) {
        /** The start of a member of which the list says no more than that it started before all that matters. */
        public static final long NO_START_TIME = 0;
    }

    /**
     * A client's request.
     *
     * @param classIndex the number of its class in the settings
     * @param sinceWriteUs the age of its session's last write, or {@link #NO_WRITE}
     * @param repeated whether the client marked it as a retry
     */
    record Request(
            String id, int classIndex, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}

    /**
     * The load report of a member, somewhat old; a value that it does not hold is NaN, a position {@link #NO_POSITION}.
     *
     * @param utilization the used share from 0 to 1 of its present capacity
     * @param inProgress how many requests it is working on
     */
    record Report(long positionUs, Role role, double utilization, double queued, double inProgress) {}

    /**
     * New settings, for requests from now on. Their classes begin with those in force, so that a class keeps its
     * number; open requests keep their class and number of attempts.
     */
    void onSettings(Settings settings);

    /** A request arrived; it gets exactly one final answer. */
    void onRequest(long nowUs, Request request);

    /**
     * An attempt ended.
     *
     * @param closed whether the request is finished with it
     * @param role of the member, UNKNOWN where it did not tell it
     * @param positionUs of the member, or {@link #NO_POSITION}
     * @param report of the member, null where none came
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
     * Whether an attempt that had to wait for its connection may still begin: asked right before its first byte,
     * as the member may have become too stale for it. If not, the attempt ends as NOT_SENT.
     */
    boolean mayStillBegin(long nowUs, String requestId);

    /** An endpoint list arrived, or its update failed. */
    void onMembers(long nowUs, ListKind kind, List<Member> members);

    /** A health check ended; {@code report} is null where none came. */
    void onHealthCheck(long nowUs, String memberId, boolean ok, long tookUs, Report report);

    /** A timer fired. */
    void onTimer(long nowUs, String name);

    /** The client of a request disconnected; it needs no answer any more. */
    void onClientDisconnected(long nowUs, String requestId);

    /** What the router asks the proxy to do that embeds it. */
    interface Actions {
        /** In place of a Retry-After: the client receives none. */
        long NO_RETRY_AFTER = 0;

        /** Starts an attempt; a request's attempts are numbered 0, 1, 2 ... in this order. */
        void send(String requestId, String memberId, long timeoutUs);

        /** Final answer: nothing was executed or a retry is harmless; with a Retry-After or {@link #NO_RETRY_AFTER}. */
        void reject(String requestId, long retryAfterUs);

        /** Final answer: the request may or may not have been executed. */
        void fail(String requestId);

        /** Cancels an attempt that is in flight. */
        void cancel(String requestId, int attempt);

        /** Starts a health check. */
        void checkHealth(String memberId);

        /** Sets a timer of this name. */
        void setTimer(long inUs, String name);

        /** Writes a line to the log. */
        void log(String text);

        /** Asks the discovery service to push changes of the endpoint list. */
        void subscribe();
    }
}
