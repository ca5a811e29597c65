package frostreel.operation;

/**
 * Who may come in, and when those who are in have to leave: one state for a start, serving, emptying by the
 * operators, handing over to a successor, and an end. It is told events and the time, and answers questions.
 * Times are microseconds on one clock that only advances.
 *
 * <p>A connection is closed in one of three ways, each later one stricter: after its answer in hand, where
 * its client cannot have asked again yet; in a sweep of those that rest; and even before its first request.
 */
public final class ServingLifecycle {
    /** What a front is told by the empty query, and operators by a call on the status. */
    public enum ReadinessStatus {
        YES,
        STARTING,
        EMPTIED,
        STOPPING
    }

    /** A front asks every 0.1 s, and deals out new connections for 0.2 s after the first no. */
    static final long DEALT_US = 400_000;
    /** Emptying, whoever has not asked again for so long after the call is between requests for good. */
    static final long EMPTY_SWEEP_US = 1_400_000;
    /** Handing over, the same: the longer, the fewer closes cross a request; SIGKILL comes at 3.7 s. */
    static final long HAND_SWEEP_US = 2_000_000;
    /** After SIGTERM clients still come for a while; for so long they are served as ever. */
    public static final long STAY_US = 700_000;
    /** SIGKILL comes no sooner than the longest deadline, or this where that is longer, and the stay. */
    private static final long KILL_MOST_US = 3_000_000;
    /** So long before SIGKILL is due, all that was taken after the stay is answered. */
    private static final long KILL_MARGIN_US = 400_000;
    /**
     * A client whose connection was ended is waited for so long to end it too. What it had sent before it
     * knew is read and dropped meanwhile: to close over it would reset the connection, and its last answer
     * might be lost. Less than the margin before SIGKILL, so that a sweep ends in order.
     */
    public static final long LINGER_US = 300_000;

    private static final long NEVER = Long.MAX_VALUE;
    private final boolean shared;
    private final long lingerUs;
    private volatile long longestUs;
    private boolean ready;
    private long emptiedUs = NEVER;
    private long endedUs = NEVER;

    /**
     * {@code shared}: a successor accepts from the same socket, so that nobody is turned away by an end;
     * {@code longestUs}: the longest deadline of a request.
     */
    public ServingLifecycle(boolean shared, long longestUs) {
        this(shared, longestUs, LINGER_US);
    }

    /** {@code lingerUs}: in place of {@link #LINGER_US}. */
    public ServingLifecycle(boolean shared, long longestUs, long lingerUs) {
        this.shared = shared;
        this.longestUs = longestUs;
        this.lingerUs = lingerUs;
    }

    /** For how long a client is waited for whose connection was ended. */
    public long lingerUs() {
        return lingerUs;
    }

    /** Other settings have another longest deadline of a request. */
    public void longest(long us) {
        longestUs = us;
    }

    /**
     * For so long at the most an end is waited for; from any thread. What came at the end of the stay has its
     * whole time, and its answer has to be on its way before the process ends.
     */
    public long longUs() {
        return longestUs + STAY_US + KILL_MARGIN_US;
    }

    /** Servers are known: serving may begin. */
    public void ready() {
        ready = true;
    }

    /** The operators empty the program; a second call changes nothing. */
    public void empty(long nowUs) {
        emptiedUs = Math.min(emptiedUs, nowUs);
    }

    public void fill() {
        emptiedUs = NEVER;
    }

    /** SIGTERM. */
    public void end(long nowUs) {
        endedUs = Math.min(endedUs, nowUs);
    }

    /** What the status is: whether this process takes clients. */
    public ReadinessStatus word() {
        return endedUs != NEVER && shared
                ? ReadinessStatus.STOPPING
                : !ready
                        ? ReadinessStatus.STARTING
                        : emptiedUs != NEVER ? ReadinessStatus.EMPTIED : ReadinessStatus.YES;
    }

    public boolean emptied() {
        return emptiedUs != NEVER;
    }

    /** Whether to accept: from a shared socket, only what the other process would not serve better. */
    public boolean accepts(long nowUs) {
        return shared ? ready && endedUs == NEVER : nowUs < lastUs();
    }

    /** Whether a connection is closed with its answer. */
    public boolean closesAnswered(long nowUs) {
        return emptiedUs != NEVER && nowUs - emptiedUs >= DEALT_US || shared && endedUs != NEVER || nowUs >= lastUs();
    }

    /** From when on those that rest are closed, {@code Long.MAX_VALUE} for never. */
    public long sweepUs() {
        long emptying = emptiedUs == NEVER ? NEVER : emptiedUs + EMPTY_SWEEP_US;
        long ending = endedUs == NEVER ? NEVER : shared ? Math.min(endedUs + HAND_SWEEP_US, lastUs()) : lastUs();
        return Math.min(emptying, ending);
    }

    /** Whether even those are closed that have yet to ask for the first time. */
    public boolean closesAll(long nowUs) {
        return nowUs >= lastUs();
    }

    /** No request that comes after the stay may be in hand any more at this time. */
    public long lastUs() {
        return endedUs == NEVER ? NEVER : endedUs + Math.min(longestUs, KILL_MOST_US) + STAY_US - KILL_MARGIN_US;
    }

    /** By when a request that comes now has to be answered; {@code Long.MAX_VALUE} for no such bound. */
    public long answerByUs(long nowUs) {
        return endedUs != NEVER && nowUs >= endedUs + STAY_US ? lastUs() : NEVER;
    }

    /** Whether nothing keeps the process any longer. */
    public boolean mayEnd(long nowUs, int clients, int requests) {
        return endedUs != NEVER && clients == 0 && requests == 0 && (shared || nowUs >= endedUs + STAY_US);
    }
}
