package frostreel.operation;

import frostreel.routing.PeerCommits;
import frostreel.routing.Router;

/**
 * A table of recent writes in memory that all processes of one pooler map, so that a session's read in one of
 * them sees the commits that the session had through another. Processes serve beside each other during an
 * upgrade, and one after the other. Each process has a table object of its own, confined to its event loop.
 *
 * <h2>Layout</h2>
 *
 * The memory is divided into regions, one a process, in which only that process writes. A region has a header
 * and slots; a session has a slot by its number, and sessions that share one only bind each other needlessly.
 * A slot holds the latest commit that was answered, until when a write that ended without a known outcome may
 * still commit, since when a write is in flight, and until when that one may commit. Commits of the process
 * itself are not looked up here, as the router that sent them knows them.
 *
 * <h2>Crashes and restarts</h2>
 *
 * A slot is written before the first byte of an attempt and before that of its response. It is therefore true
 * at any moment, also for a process that was killed or is suspended: its writes in flight bind the others
 * until their deadlines. What former processes left is as good as what living ones write, since an old commit
 * binds to nothing that every member does not have already. A new process takes over the region whose
 * heartbeat is oldest and keeps what is in it: that goes on to bind, and new values only ever raise it.
 */
public final class SharedCommitTable implements WriteObserver, PeerCommits {
    /**
     * For a process that cannot see the others' writes: any session may have had a commit at any time, and it
     * binds as soon as it counts as known.
     */
    public static final PeerCommits UNKNOWN_PEERS = (nowUs, session) -> nowUs - Router.KNOWN_AFTER_US;
    /** Servers state commits in milliseconds, rounded down. */
    private static final long COMMIT_ROUNDING_US = 1_000;

    static final int REGIONS = 4;
    private static final int SLOT_BITS = 9;
    private static final int SLOTS = 1 << SLOT_BITS;
    /** Spreads sessions over slots whatever the pattern of their numbers: 2^64 divided by the golden ratio. */
    private static final long FIBONACCI_HASH = 0x9E3779B97F4A7C15L;

    /** The header of a region, by offset: the incarnation of the process that owns it, and its heartbeat. */
    private static final int OWNER = 0;

    private static final int HEARTBEAT_US = 1;
    private static final int HEADER_LONGS = 2;
    /** A slot, by offset: instants in microseconds, 0 for none. */
    private static final int LATEST_COMMIT_US = 0;

    private static final int UNCERTAIN_UNTIL_US = 1;
    private static final int IN_FLIGHT_SINCE_US = 2;
    private static final int IN_FLIGHT_UNTIL_US = 3;
    private static final int SLOT_LONGS = 4;
    private static final int REGION_LONGS = HEADER_LONGS + SLOTS * SLOT_LONGS;
    /** The size of the shared memory. */
    public static final int LONGS = REGIONS * REGION_LONGS;

    /** The owner of a region that was never used. */
    private static final long NO_OWNER = 0;

    private final SharedMemoryLongs memory;
    private final long incarnation;
    /** The index at which the region of this process begins. */
    private int ownRegion;
    /** The writes of this process in flight, by slot: how many, since when, and their latest deadline. */
    private final int[] inFlight = new int[SLOTS];

    private final long[] inFlightSinceUs = new long[SLOTS];
    private final long[] inFlightUntilUs = new long[SLOTS];
    /** What former owners left in the region of this process, by slot; it stands in no other region. */
    private final long[] inheritedCommitUs = new long[SLOTS];

    private final long[] inheritedUncertainUntilUs = new long[SLOTS];

    /**
     * Takes over a region of the memory.
     *
     * @param incarnation a number other than 0 that no other process of this pooler has or had
     */
    public SharedCommitTable(SharedMemoryLongs memory, long incarnation, long nowUs) {
        this.memory = memory;
        this.incarnation = incarnation;
        claimRegion(nowUs);
    }

    private void claimRegion(long nowUs) {
        long previousOwner;
        do {
            ownRegion = regionWithOldestHeartbeat();
            previousOwner = memory.get(ownRegion + OWNER);
            memory.set(ownRegion + HEARTBEAT_US, nowUs);
        } while (!memory.compareAndSet(ownRegion + OWNER, previousOwner, incarnation));
        for (int slot = 0; slot < SLOTS; slot++) {
            inheritSlot(slot);
        }
    }

    private int regionWithOldestHeartbeat() {
        int oldest = 0;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (memory.get(region + HEARTBEAT_US) < memory.get(oldest + HEARTBEAT_US)) {
                oldest = region;
            }
        }
        return oldest;
    }

    /** Keeps what the former owner left, its writes in flight as uncertain ones, and adds this process's own. */
    private void inheritSlot(int slot) {
        int base = slotIndex(ownRegion, slot);
        boolean leftInFlight = memory.get(base + IN_FLIGHT_SINCE_US) > 0;
        raise(base + UNCERTAIN_UNTIL_US, leftInFlight ? memory.get(base + IN_FLIGHT_UNTIL_US) : 0);
        inheritedCommitUs[slot] = Math.max(inheritedCommitUs[slot], memory.get(base + LATEST_COMMIT_US));
        inheritedUncertainUntilUs[slot] =
                Math.max(inheritedUncertainUntilUs[slot], memory.get(base + UNCERTAIN_UNTIL_US));
        raise(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        memory.set(base + IN_FLIGHT_SINCE_US, inFlight[slot] > 0 ? inFlightSinceUs[slot] : 0);
    }

    /** A process that was suspended while many others started may have lost its region: it claims another. */
    private void ensureRegion(long nowUs) {
        if (memory.get(ownRegion + OWNER) != incarnation) {
            claimRegion(nowUs);
        }
    }

    private static int slotOf(long session) {
        return (int) ((session * FIBONACCI_HASH) >>> (Long.SIZE - SLOT_BITS));
    }

    private static int slotIndex(int region, int slot) {
        return region + HEADER_LONGS + slot * SLOT_LONGS;
    }

    /** Sets a value to the given one unless it is greater already. */
    private void raise(int index, long toAtLeast) {
        long present = memory.get(index);
        while (present < toAtLeast && !memory.compareAndSet(index, present, toAtLeast)) {
            present = memory.get(index);
        }
    }

    @Override
    public void onSent(long nowUs, long session, long deadlineUs) {
        ensureRegion(nowUs);
        int slot = slotOf(session);
        int base = slotIndex(ownRegion, slot);
        inFlightUntilUs[slot] = Math.max(inFlightUntilUs[slot], deadlineUs);
        raise(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        if (inFlight[slot]++ == 0) {
            inFlightSinceUs[slot] = nowUs;
            memory.set(base + IN_FLIGHT_SINCE_US, nowUs);
        }
    }

    /** {@inheritDoc} What the write leaves is stored before it stops being in flight, so readers see either. */
    @Override
    public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {
        ensureRegion(nowUs);
        int slot = slotOf(session);
        int base = slotIndex(ownRegion, slot);
        if (outcome == Router.Outcome.OK) {
            raise(base + LATEST_COMMIT_US, positionUs > 0 ? positionUs : nowUs);
        } else if (!outcome.provesNotRun) {
            raise(base + UNCERTAIN_UNTIL_US, mayStillRun(outcome) ? Math.max(nowUs, deadlineUs) : nowUs);
        }
        if (--inFlight[slot] == 0) {
            memory.set(base + IN_FLIGHT_SINCE_US, 0);
        }
    }

    private static boolean mayStillRun(Router.Outcome outcome) {
        return outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.CANCELLED;
    }

    @Override
    public void onHeartbeat(long nowUs) {
        ensureRegion(nowUs);
        memory.set(ownRegion + HEARTBEAT_US, nowUs);
    }

    @Override
    public long requiredPositionUs(long nowUs, long session) {
        int slot = slotOf(session);
        long bound = boundUs(nowUs, inheritedCommitUs[slot], inheritedUncertainUntilUs[slot], 0, 0);
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            long owner = memory.get(region + OWNER);
            if (owner != NO_OWNER && owner != incarnation) {
                bound = Math.max(bound, boundOfSlotUs(nowUs, slotIndex(region, slot)));
            }
        }
        return bound;
    }

    /** Reads whether a write is in flight first: one that ends meanwhile has stored what it leaves by then. */
    private long boundOfSlotUs(long nowUs, int base) {
        long sinceUs = memory.get(base + IN_FLIGHT_SINCE_US);
        long commitUs = memory.get(base + LATEST_COMMIT_US);
        long uncertainUntilUs = memory.get(base + UNCERTAIN_UNTIL_US);
        long untilUs = sinceUs > 0 ? memory.get(base + IN_FLIGHT_UNTIL_US) : 0;
        return boundUs(nowUs, commitUs, uncertainUntilUs, sinceUs, untilUs);
    }

    /** The position that a slot's values bind a read to; never later than now, should the clock have gone back. */
    private static long boundUs(
            long nowUs, long latestCommitUs, long uncertainUntilUs, long inFlightSinceUs, long inFlightUntilUs) {
        long knownUs = nowUs - Router.KNOWN_AFTER_US;
        long commitUs = latestCommitUs > 0 ? Math.min(latestCommitUs + COMMIT_ROUNDING_US, nowUs) : 0;
        long uncertainUs = Math.min(uncertainUntilUs, knownUs);
        long inFlightUs = inFlightSinceUs < knownUs ? Math.min(inFlightUntilUs, knownUs) : 0;
        return Math.max(Math.max(commitUs, uncertainUs), inFlightUs);
    }
}
