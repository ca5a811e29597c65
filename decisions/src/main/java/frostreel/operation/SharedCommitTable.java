package frostreel.operation;

import frostreel.routing.PeerCommits;
import frostreel.routing.Router;

/**
 * A table of recent writes in shared memory that all processes of one pooler map, so that a session's read in one
 * process sees the commits that the session made through another. Two processes serve at once during an upgrade;
 * otherwise they follow one another. Each process has a table object of its own, confined to its event loop.
 *
 * <h2>Layout</h2>
 *
 * The memory is divided into regions, one a process, in which only that process writes. A region has a header
 * and slots. A session has a slot by its number; sessions that share one bind each other's reads needlessly, and
 * never too little. A slot holds four times: the latest answered commit; until when a write that ended without a
 * known outcome may still commit; since when a write is in flight; and until when that one may commit. A process
 * does not look up its own commits here, as its router knows them.
 *
 * <h2>Crashes and restarts</h2>
 *
 * A slot is written before the first byte of an attempt is sent, and before the first byte of its response is.
 * It is therefore correct at any moment, also for a process that was killed or is suspended: its writes in flight
 * bind the others until their deadlines. What former processes left binds like what living ones write; an old
 * commit costs nothing, as every member has it by then. A new process takes over the region with the oldest
 * heartbeat and keeps what is in it: new values only ever raise those.
 */
public final class SharedCommitTable implements WriteObserver, PeerCommits {
    /**
     * For a process that cannot see the others' writes: it assumes that any session may have committed at any time,
     * and binds its reads to every commit whose response counts as known by now.
     */
    public static final PeerCommits UNKNOWN_PEER_COMMITS = (nowUs, session) -> nowUs - Router.KNOWN_AFTER_US;

    /** Servers state commits in milliseconds, rounded down. */
    private static final long COMMIT_ROUNDING_US = 1_000;

    /** How many processes have a region each; one more takes over that with the oldest heartbeat. */
    static final int REGIONS = 4;

    private static final int SLOT_BITS = 9;
    private static final int SLOTS = 1 << SLOT_BITS;
    /** Spreads sessions over slots whatever the pattern of their numbers: 2^64 divided by the golden ratio. */
    private static final long FIBONACCI_HASH = 0x9E3779B97F4A7C15L;

    // The header of a region, by offset.
    /** The incarnation of the process that owns the region. */
    private static final int OWNER = 0;
    /** The time of that process's last heartbeat. */
    private static final int HEARTBEAT_US = 1;

    private static final int HEADER_LONGS = 2;

    // A slot, by offset; each value is a time, or NO_TIME.
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
    /** A value of a slot that was never set, or is not in use; every time is greater. */
    private static final long NO_TIME = 0;

    private final SharedMemoryLongs memory;
    private final long incarnation;
    /** The index at which the region of this process begins. */
    private int ownRegion;
    /** The writes of this process in flight, by slot: how many, since when, and their latest deadline. */
    private final int[] inFlight = new int[SLOTS];

    private final long[] inFlightSinceUs = new long[SLOTS];
    private final long[] inFlightUntilUs = new long[SLOTS];
    /** What former owners left in the region of this process, by slot: {@link #requiredUs} skips that region. */
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

    /** Keeps what the former owner left, its writes in flight as uncertain ones, and adds those of this process. */
    private void inheritSlot(int slot) {
        int base = slotIndex(ownRegion, slot);
        boolean hadWriteInFlight = memory.get(base + IN_FLIGHT_SINCE_US) > NO_TIME;
        raiseTo(base + UNCERTAIN_UNTIL_US, hadWriteInFlight ? memory.get(base + IN_FLIGHT_UNTIL_US) : NO_TIME);
        inheritedCommitUs[slot] = Math.max(inheritedCommitUs[slot], memory.get(base + LATEST_COMMIT_US));
        inheritedUncertainUntilUs[slot] =
                Math.max(inheritedUncertainUntilUs[slot], memory.get(base + UNCERTAIN_UNTIL_US));
        raiseTo(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        memory.set(base + IN_FLIGHT_SINCE_US, inFlight[slot] > 0 ? inFlightSinceUs[slot] : NO_TIME);
    }

    /** Claims another region if this one was taken, as may happen while this process is suspended and others start. */
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
    private void raiseTo(int index, long minimum) {
        long present = memory.get(index);
        while (present < minimum && !memory.compareAndSet(index, present, minimum)) {
            present = memory.get(index);
        }
    }

    @Override
    public void onSent(long nowUs, long session, long deadlineUs) {
        ensureRegion(nowUs);
        int slot = slotOf(session);
        int base = slotIndex(ownRegion, slot);
        inFlightUntilUs[slot] = Math.max(inFlightUntilUs[slot], deadlineUs);
        raiseTo(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        if (inFlight[slot]++ == 0) {
            inFlightSinceUs[slot] = nowUs;
            memory.set(base + IN_FLIGHT_SINCE_US, nowUs);
        }
    }

    /** {@inheritDoc} The result is stored before the write stops being in flight, so that readers see either. */
    @Override
    public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {
        ensureRegion(nowUs);
        int slot = slotOf(session);
        int base = slotIndex(ownRegion, slot);
        if (outcome == Router.Outcome.OK) {
            raiseTo(base + LATEST_COMMIT_US, positionUs > UNKNOWN_POSITION_US ? positionUs : nowUs);
        } else if (!outcome.provesNotRun) {
            raiseTo(base + UNCERTAIN_UNTIL_US, mayStillRun(outcome) ? Math.max(nowUs, deadlineUs) : nowUs);
        }
        if (--inFlight[slot] == 0) {
            memory.set(base + IN_FLIGHT_SINCE_US, NO_TIME);
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
        long positionUs = requiredUs(nowUs, inheritedCommitUs[slot], inheritedUncertainUntilUs[slot], NO_TIME, NO_TIME);
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            long owner = memory.get(region + OWNER);
            if (owner != NO_OWNER && owner != incarnation) {
                positionUs = Math.max(positionUs, requiredBySlotUs(nowUs, slotIndex(region, slot)));
            }
        }
        return positionUs;
    }

    /** Reads first whether a write is in flight: one that ends during this call has stored its result by then. */
    private long requiredBySlotUs(long nowUs, int base) {
        long inFlightSinceUs = memory.get(base + IN_FLIGHT_SINCE_US);
        long commitUs = memory.get(base + LATEST_COMMIT_US);
        long uncertainUntilUs = memory.get(base + UNCERTAIN_UNTIL_US);
        long inFlightUntilUs = inFlightSinceUs > NO_TIME ? memory.get(base + IN_FLIGHT_UNTIL_US) : NO_TIME;
        return requiredUs(nowUs, commitUs, uncertainUntilUs, inFlightSinceUs, inFlightUntilUs);
    }

    /** The position that a read must see by a slot's values; never later than now, even if the clock was set back. */
    private static long requiredUs(
            long nowUs, long latestCommitUs, long uncertainUntilUs, long inFlightSinceUs, long inFlightUntilUs) {
        long knownUs = nowUs - Router.KNOWN_AFTER_US;
        long commitUs = latestCommitUs > NO_TIME ? Math.min(latestCommitUs + COMMIT_ROUNDING_US, nowUs) : NO_TIME;
        long uncertainUs = Math.min(uncertainUntilUs, knownUs);
        long inFlightUs = inFlightSinceUs < knownUs ? Math.min(inFlightUntilUs, knownUs) : NO_TIME;
        return Math.max(Math.max(commitUs, uncertainUs), inFlightUs);
    }
}
