package frostreel.operation;

/**
 * Ownership of one of several equal regions of shared memory. Each process of a pooler owns one region and is the only
 * writer of it; all processes read all regions. A new process takes over the region with the oldest heartbeat. Confined
 * to the event loop of its process.
 *
 * <p>Each region begins with a header of {@link #HEADER_LONGS} values, which this class owns; the rest belongs to the
 * table that the region holds. Times are microseconds on the pooler's clock.
 */
final class OwnedRegion {
    /** Number of regions. One more process takes over the region with the oldest heartbeat. */
    static final int REGIONS = 4;
    /** Length of the header at the start of each region. */
    static final int HEADER_LONGS = 2;
    /** Length of the part of the header that names the owner, at the start of a region. */
    static final int OWNER_LONGS = 1;
    /** Owner of a region that has never been used. */
    static final long NO_OWNER = 0;

    /** Offset of the incarnation of the process that owns the region. */
    private static final int OWNER = 0;
    /** Offset of the time of the owner's last heartbeat. */
    private static final int HEARTBEAT_US = 1;

    private final SharedMemoryLongs memory;
    private final int regionLongs;
    private final long incarnation;
    private int start;

    /**
     * Creates an owner without a region; {@link #claim} has to be called next.
     *
     * @param regionLongs length of a region with its header
     * @param incarnation a number other than 0 that no other process of this pooler has or had
     */
    OwnedRegion(SharedMemoryLongs memory, int regionLongs, long incarnation) {
        this.memory = memory;
        this.regionLongs = regionLongs;
        this.incarnation = incarnation;
    }

    /** Takes over the region with the oldest heartbeat. Its content is left as it is. */
    void claim(long nowUs) {
        long previousOwner;
        do {
            start = withOldestHeartbeat();
            previousOwner = memory.get(start + OWNER);
            memory.set(start + HEARTBEAT_US, nowUs);
        } while (!memory.compareAndSet(start + OWNER, previousOwner, incarnation));
    }

    private int withOldestHeartbeat() {
        int oldest = 0;
        for (int region = 0; region < REGIONS * regionLongs; region += regionLongs) {
            if (heartbeatUs(region) < heartbeatUs(oldest)) {
                oldest = region;
            }
        }
        return oldest;
    }

    /** Whether no other process has taken the region over, which may happen while this process is suspended. */
    boolean isOwned() {
        return memory.get(start + OWNER) == incarnation;
    }

    /** Records a heartbeat of this process. */
    void beat(long nowUs) {
        memory.set(start + HEARTBEAT_US, nowUs);
    }

    /** Makes the region that begins at this index the next one to be claimed, as its header is damaged. */
    void offer(int region) {
        memory.set(region + HEARTBEAT_US, 0);
    }

    /** Returns the index at which the region of this process begins. */
    int start() {
        return start;
    }

    /** Whether the region that begins at this index has ever been used. */
    boolean isUsed(int region) {
        return memory.get(region + OWNER) != NO_OWNER;
    }

    /** Whether the region that begins at this index is in use by another process. */
    boolean isOfOther(int region) {
        long owner = memory.get(region + OWNER);
        return owner != NO_OWNER && owner != incarnation;
    }

    /** Returns the last heartbeat of the owner of the region that begins at this index. */
    long heartbeatUs(int region) {
        return memory.get(region + HEARTBEAT_US);
    }
}
