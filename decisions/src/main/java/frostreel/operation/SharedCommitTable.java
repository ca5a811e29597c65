package frostreel.operation;

import frostreel.routing.PeerCommits;
import frostreel.routing.Router;
import frostreel.routing.StableHash;

/**
 * Table of recent writes in memory that all processes of one pooler map. It lets a session's read in one process see
 * the commits that the session made through another. Two processes serve at the same time during an upgrade;
 * otherwise only one runs at a time. Each process has its own table object, confined to its event loop.
 *
 * <h2>Layout</h2>
 *
 * The memory is divided into regions, one for each process, which is the only writer of its region. A region consists
 * of a header and slots, and a session is hashed to a slot by its number. Sessions that share a slot may make each
 * other's reads require a later position than necessary, but never an earlier one. A slot contains four times: the
 * latest commit that was answered; the end of the period in which a write with an unknown outcome may still commit;
 * the time since which at least one write has been in flight; and the end of the period in which the writes in flight
 * may commit. A process does not look up its own commits here, because its router knows them.
 *
 * <h2>Crashes and restarts</h2>
 *
 * A slot is updated before the first byte of an attempt is sent, and before the first byte of the response reaches
 * the client. Its content is therefore valid at any moment, even if the process is killed or suspended: reads in the
 * other processes take its writes in flight into account until their deadlines. The content that former processes
 * left is used like that of running ones; an old commit has no cost, as every member has applied it by then. A new
 * process takes over the region with the oldest heartbeat and keeps its content: recorded commits and deadlines are
 * only ever raised.
 */
public final class SharedCommitTable implements WriteObserver, PeerCommits {
    /**
     * Peer commits for a process that cannot read the others' writes. It assumes that any session may have committed
     * at any time, so that a read must see every commit whose response counts as known by now.
     */
    public static final PeerCommits UNKNOWN_PEER_COMMITS = (nowUs, session) -> nowUs - Router.KNOWN_AFTER_US;

    /** Servers report commit positions in milliseconds, rounded down. */
    private static final long COMMIT_ROUNDING_US = 1_000;

    private static final int SLOT_BITS = 9;
    private static final int SLOTS = 1 << SLOT_BITS;

    // Offsets in a slot. Each value is a time or NO_TIME.
    private static final int LATEST_COMMIT_US = 0;
    private static final int UNCERTAIN_UNTIL_US = 1;
    private static final int IN_FLIGHT_SINCE_US = 2;
    private static final int IN_FLIGHT_UNTIL_US = 3;

    private static final int SLOT_LONGS = 4;

    private static final int REGION_LONGS = OwnedRegion.HEADER_LONGS + SLOTS * SLOT_LONGS;
    /** Size of the shared memory. */
    public static final int LONGS = OwnedRegion.REGIONS * REGION_LONGS;

    /** Slot value that was never set or is not in use; less than any time. */
    private static final long NO_TIME = 0;

    private final SharedMemoryLongs memory;
    private final OwnedRegion ownRegion;
    /** Number of writes of this process in flight, by slot. */
    private final int[] inFlight = new int[SLOTS];

    /** Time since which this process has had at least one write in flight, by slot. */
    private final long[] inFlightSinceUs = new long[SLOTS];
    /** Latest deadline of the writes of this process in flight, by slot. */
    private final long[] inFlightUntilUs = new long[SLOTS];
    /**
     * Latest commit that former owners of this process's region recorded, by slot. Kept separately, as {@link
     * #requiredPositionUs} skips the region.
     */
    private final long[] inheritedCommitUs = new long[SLOTS];

    /** Until when uncertain writes of former owners may commit, by slot. */
    private final long[] inheritedUncertainUntilUs = new long[SLOTS];

    /**
     * Claims a region of the memory.
     *
     * @param incarnation a number other than 0 that no other process of this pooler has or had
     */
    public SharedCommitTable(SharedMemoryLongs memory, long incarnation, long nowUs) {
        this.memory = memory;
        ownRegion = new OwnedRegion(memory, REGION_LONGS, incarnation);
        claimRegion(nowUs);
    }

    private void claimRegion(long nowUs) {
        ownRegion.claim(nowUs);
        for (int slot = 0; slot < SLOTS; slot++) {
            inheritSlot(slot);
        }
    }

    /**
     * Inherits the values of the former owner, with its writes in flight as uncertain ones, and adds the writes in
     * flight of this process.
     */
    private void inheritSlot(int slot) {
        int base = slotIndex(ownRegion.start(), slot);
        boolean hadWriteInFlight = memory.get(base + IN_FLIGHT_SINCE_US) > NO_TIME;
        raiseTo(base + UNCERTAIN_UNTIL_US, hadWriteInFlight ? memory.get(base + IN_FLIGHT_UNTIL_US) : NO_TIME);
        inheritedCommitUs[slot] = Math.max(inheritedCommitUs[slot], memory.get(base + LATEST_COMMIT_US));
        inheritedUncertainUntilUs[slot] =
                Math.max(inheritedUncertainUntilUs[slot], memory.get(base + UNCERTAIN_UNTIL_US));
        raiseTo(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        memory.set(base + IN_FLIGHT_SINCE_US, inFlight[slot] > 0 ? inFlightSinceUs[slot] : NO_TIME);
    }

    /** Claims another region if this one was taken over, which may happen while this process is suspended. */
    private void ensureRegion(long nowUs) {
        if (!ownRegion.isOwned()) {
            claimRegion(nowUs);
        }
    }

    private static int slotOf(long session) {
        return StableHash.bucketOf(session, SLOT_BITS);
    }

    private static int slotIndex(int region, int slot) {
        return region + OwnedRegion.HEADER_LONGS + slot * SLOT_LONGS;
    }

    /** Sets a value to the minimum if it is less. */
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
        int base = slotIndex(ownRegion.start(), slot);
        inFlightUntilUs[slot] = Math.max(inFlightUntilUs[slot], deadlineUs);
        raiseTo(base + IN_FLIGHT_UNTIL_US, inFlightUntilUs[slot]);
        if (inFlight[slot]++ == 0) {
            inFlightSinceUs[slot] = nowUs;
            memory.set(base + IN_FLIGHT_SINCE_US, nowUs);
        }
    }

    /**
     * {@inheritDoc} The result is stored before the write stops being in flight, so that readers see at least one of
     * them.
     */
    @Override
    public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {
        ensureRegion(nowUs);
        int slot = slotOf(session);
        int base = slotIndex(ownRegion.start(), slot);
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
        ownRegion.beat(nowUs);
    }

    @Override
    public long requiredPositionUs(long nowUs, long session) {
        int slot = slotOf(session);
        long positionUs = requiredUs(nowUs, inheritedCommitUs[slot], inheritedUncertainUntilUs[slot], NO_TIME, NO_TIME);
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (ownRegion.isOfOther(region)) {
                positionUs = Math.max(positionUs, requiredBySlotUs(nowUs, slotIndex(region, slot)));
            }
        }
        return positionUs;
    }

    /**
     * The position that a slot requires a read to see. Reads the in-flight state first: a write that ends during this
     * call has then already stored its result.
     */
    private long requiredBySlotUs(long nowUs, int base) {
        long inFlightSinceUs = memory.get(base + IN_FLIGHT_SINCE_US);
        long commitUs = memory.get(base + LATEST_COMMIT_US);
        long uncertainUntilUs = memory.get(base + UNCERTAIN_UNTIL_US);
        long inFlightUntilUs = inFlightSinceUs > NO_TIME ? memory.get(base + IN_FLIGHT_UNTIL_US) : NO_TIME;
        return requiredUs(nowUs, commitUs, uncertainUntilUs, inFlightSinceUs, inFlightUntilUs);
    }

    /** The position that slot values require a read to see; at most now, even if the clock was set back. */
    private static long requiredUs(
            long nowUs, long latestCommitUs, long uncertainUntilUs, long inFlightSinceUs, long inFlightUntilUs) {
        long knownUs = nowUs - Router.KNOWN_AFTER_US;
        long commitUs = latestCommitUs > NO_TIME ? Math.min(latestCommitUs + COMMIT_ROUNDING_US, nowUs) : NO_TIME;
        long uncertainUs = Math.min(uncertainUntilUs, knownUs);
        long inFlightUs = inFlightSinceUs < knownUs ? Math.min(inFlightUntilUs, knownUs) : NO_TIME;
        return Math.max(Math.max(commitUs, uncertainUs), inFlightUs);
    }
}
