package frostreel.operation;

import frostreel.routing.StableHash;

/**
 * The ids of recent requests of all processes of one pooler that may have run and must not run again. Clients give
 * every request a new id, so one that comes again is a mistake, or the same request on another connection.
 *
 * <p>Each process owns a region of a shared table, see {@link OwnedRegion}, and a copy of all of them. A region is
 * divided into buckets, in which a new id replaces the oldest one. Ids are stored as 64-bit keys. Confined to the event
 * loop.
 */
public final class RecentRequestIds {
    private static final int BUCKET_BITS = 10;
    private static final int BUCKETS = 1 << BUCKET_BITS;
    /** Ids of a bucket. All buckets hold the writes of a minute at a hundred a second. */
    private static final int BUCKET_LONGS = 8;

    private static final int REGION_LONGS = OwnedRegion.HEADER_LONGS + BUCKETS * BUCKET_LONGS;
    /** Size of the table. */
    public static final int LONGS = OwnedRegion.REGIONS * REGION_LONGS;

    /** Time, in microseconds, without a heartbeat after which a process counts as ended; there are five a second. */
    private static final long ENDED_AFTER_US = 10_000_000;

    private final SharedTableStorage storage;
    private final TableCopy copy = new TableCopy(LONGS);
    private final OwnedRegion ownRegion;
    /** Position in each bucket of the own region at which the next id is stored. */
    private final byte[] next = new byte[BUCKETS];

    private long lastHeartbeatUs;

    /**
     * Claims a region of the table, whose content is kept.
     *
     * @param incarnation a number other than 0 that no other process of this pooler has or had
     */
    public RecentRequestIds(SharedTableStorage storage, long incarnation, long nowUs) {
        this.storage = storage;
        ownRegion = new OwnedRegion(copy, REGION_LONGS, incarnation);
        lastHeartbeatUs = nowUs;
        storage.read(copy.values, 0, LONGS);
        ownRegion.claim(nowUs);
        writeRegion();
    }

    /** The ids of a pooler that never has a second process. */
    public static RecentRequestIds ofSingleProcess() {
        return new RecentRequestIds(SharedTableStorage.NONE, 1, 0);
    }

    /** Records that a request may run from now on. */
    public void add(String requestId) {
        long key = StableHash.keyOf(requestId);
        int bucket = StableHash.bucketOf(key, BUCKET_BITS);
        int index = bucketStart(ownRegion.start(), bucket) + next[bucket];
        next[bucket] = (byte) ((next[bucket] + 1) % BUCKET_LONGS);
        copy.set(index, key);
        storage.write(copy.values, index, 1);
    }

    /** Whether a request with this id may have run recently, through any process of the pooler. */
    public boolean contains(String requestId) {
        long key = StableHash.keyOf(requestId);
        int bucket = StableHash.bucketOf(key, BUCKET_BITS);
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (ownRegion.isUsed(region) && contains(region, bucket, key)) {
                return true;
            }
        }
        return false;
    }

    private boolean contains(int region, int bucket, long key) {
        int start = bucketStart(region, bucket);
        boolean mayHaveChanged =
                ownRegion.isOfOther(region) && lastHeartbeatUs - ownRegion.heartbeatUs(region) < ENDED_AFTER_US;
        if (mayHaveChanged) {
            storage.read(copy.values, start, BUCKET_LONGS);
        }
        for (int index = start; index < start + BUCKET_LONGS; index++) {
            if (copy.get(index) == key) {
                return true;
            }
        }
        return false;
    }

    private static int bucketStart(int region, int bucket) {
        return region + OwnedRegion.HEADER_LONGS + bucket * BUCKET_LONGS;
    }

    /** Records a heartbeat, writes the region of this process anew and looks for new processes. */
    public void onHeartbeat(long nowUs) {
        boolean isRead = storage.read(copy.values, ownRegion.start(), OwnedRegion.OWNER_LONGS);
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (region != ownRegion.start()) {
                storage.read(copy.values, region, OwnedRegion.HEADER_LONGS);
            }
        }
        if (isRead && !ownRegion.isOwned()) { // It was taken over while this process was suspended, or is damaged.
            ownRegion.claim(nowUs);
        }
        ownRegion.beat(nowUs);
        lastHeartbeatUs = nowUs;
        writeRegion();
    }

    private void writeRegion() {
        storage.write(copy.values, ownRegion.start(), REGION_LONGS);
    }
}
