package frostreel.routing;

import java.util.List;

/**
 * What an embedding proxy sees of the router: it hands in settings and events, and carries out the actions.
 *
 * <p>Times are microseconds on one clock that only advances, handed in with every event. A router is
 * single-threaded, does no I/O and reads no clock; equal events give equal actions. Nothing here decides.
 */
public interface Router {
    /**
     * The protocol's figure, in microseconds: what an answer tells counts as known so long after it was
     * written, however it fared on the way.
     */
    long KNOWN_AFTER_US = 100_000;

    /** What a request's class needs of the data that answers it. */
    enum Access {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /** Whether a request may be repeated after an attempt that may have run. */
    enum Idempotency {
        IDEMPOTENT,
        KEYED,
        NON_IDEMPOTENT
    }

    /** Which members drop a keyed request's repeats. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /** What a member does with a read it is too far behind for. */
    enum StalenessCheck {
        SILENT,
        REFUSE,
        WAIT
    }

    /** How the member list tracks roles. */
    enum ListRole {
        LATE,
        START,
        SILENT
    }

    /** Where a session read's last write is known from. */
    enum SessionTracking {
        CARRIED,
        REMEMBERED
    }

    enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** Whether probes are allowed, and whether their answers tell role and position, or only that it runs. */
    enum Probes {
        NONE,
        LIVENESS,
        REPORT
    }

    enum State {
        UP,
        DRAINING,
        GONE
    }

    enum ListKind {
        FULL,
        CHANGES,
        CACHED,
        FAILED
    }

    /** How an attempt ended, and whether that proves it never ran. */
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

        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** A class of requests; {@code boundUs} is read for BOUNDED, scope and window for KEYED. */
    record RequestClass(
            String name,
            Access access,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long windowUs,
            long boundUs,
            long latencyObjectiveUs,
            long deadlineUs,
            double priorityWeight,
            double lateWeight) {}

    /**
     * What the deployment permits; an idle connection closes by itself, and carries so many at once;
     * {@code concurrentRequestLimit}: how many requests clients may have open here at once, 0 where nothing bounds them.
     */
    record Limits(
            int maxAttempts,
            Probes probes,
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
        public Limits(
                int maxAttempts,
                Probes probes,
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
                    probes,
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

        /** As it is on sockets: a connection carries one attempt at a time. */
        Limits onSockets(int usual) {
            return new Limits(
                    maxAttempts,
                    probes,
                    cancel,
                    retryAfterAllowed,
                    maxRetryAfterUs,
                    subscribe,
                    askWithinUs,
                    connectTimeoutUs,
                    holdsForUs,
                    idleCloseUs,
                    1,
                    usual);
        }
    }

    /** The figures of the rules. */
    record Rules(
            long answerSlackUs,
            long stopSendingUs,
            boolean onlyDrainingBinds,
            double coldFrom,
            long warmAfterUs,
            double fallMultiple,
            long fallUs) {
        /**
         * The part of its capacity that a member has at the least: cold when it starts, warm after a time;
         * {@code startedUs} is 0 for the distant past.
         */
        double warmth(long nowUs, long startedUs) {
            double age = startedUs == 0 ? warmAfterUs : Math.max(0, nowUs - startedUs);
            return age >= warmAfterUs ? 1 : coldFrom + (1 - coldFrom) * age / warmAfterUs;
        }
    }

    /** All that a router is told at its start; {@code instances}: how many there are, 0 where not told. */
    record Settings(
            long seed,
            int instances,
            int zone,
            long tickUs,
            List<RequestClass> classes,
            StalenessCheck stalenessCheck,
            ListRole listRole,
            SessionTracking sessionTracking,
            boolean positions,
            Limits limits,
            Rules rules) {
        /** The same but for the classes and the number of attempts. */
        public Settings with(List<RequestClass> other, int maxAttempts) {
            Limits l = new Limits(
                    maxAttempts,
                    limits.probes,
                    limits.cancel,
                    limits.retryAfterAllowed,
                    limits.maxRetryAfterUs,
                    limits.subscribe,
                    limits.askWithinUs,
                    limits.connectTimeoutUs,
                    limits.holdsForUs,
                    limits.idleCloseUs,
                    limits.requestsPerConnection,
                    limits.concurrentRequestLimit);
            return new Settings(
                    seed,
                    instances,
                    zone,
                    tickUs,
                    other,
                    stalenessCheck,
                    listRole,
                    sessionTracking,
                    positions,
                    l,
                    rules);
        }

        /** The same but for the places of clients. */
        public Settings onSockets(int concurrentRequestLimit) {
            return new Settings(
                    seed,
                    instances,
                    zone,
                    tickUs,
                    classes,
                    stalenessCheck,
                    listRole,
                    sessionTracking,
                    positions,
                    limits.onSockets(concurrentRequestLimit),
                    rules);
        }
    }

    /** A list entry; {@code startedUs} is 0 for the distant past. */
    record Member(
            String id, int zone, int kind, int group, boolean primary, State state, double weight, long startedUs) {}

    /**
     * A client's request; {@code sinceWriteUs} is the age of its session's last write, 0 for none, and
     * {@code repeated} says that the client marked it as a further try.
     */
    record Request(String id, int cls, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}

    /** A member's word on itself, somewhat old; a value it does not hold is NaN, its position 0. */
    record Report(long positionUs, Role role, double util, double queued, double inHand) {}

    /**
     * New settings hold for requests from now on. Their list of classes begins with the one in force, so that
     * a class keeps its number, and the requests that are open keep their classes and number of attempts.
     */
    void onSettings(Settings settings);

    void onRequest(long nowUs, Request request);

    /** {@code closed}: the request is finished. Role and position are UNKNOWN and 0 where not told. */
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
     * Asked right before the first byte of an attempt that had to wait for its connection: whether its member
     * still is new enough for it. Where not, the attempt ends as NOT_SENT.
     */
    boolean mayStillBegin(long nowUs, String requestId);

    void onMembers(long nowUs, ListKind kind, List<Member> members);

    void onProbe(long nowUs, String memberId, boolean ok, long tookUs, Report report);

    void onTimer(long nowUs, String name);

    void onClientDisconnected(long nowUs, String requestId);

    /** What the router asks of the proxy that embeds it. */
    interface Actions {
        /** Starts an attempt; a request's attempts are numbered 0, 1, 2 ... in this order. */
        void send(String requestId, String memberId, long timeoutUs);

        /** Final answer: nothing ran, or trying again is harmless; with advice on when to come back. */
        void reject(String requestId, long retryAfterUs);

        /** Final answer that promises nothing. */
        void fail(String requestId);

        void cancel(String requestId, int attempt);

        void probe(String memberId);

        void setTimer(long inUs, String name);

        void log(String text);

        /** Asks the discovery service to push changes of the member list. */
        void subscribe();
    }
}
