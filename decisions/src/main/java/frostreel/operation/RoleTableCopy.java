package frostreel.operation;

import frostreel.routing.StableHash;
import java.util.Arrays;

/**
 * A process's copy of a {@link SharedRoleTable}, and the layout of the table. A region consists of a header and buckets
 * of entries; a member is hashed to a bucket by its key. An entry contains the key, the latest times as of which the
 * member was known to be the primary and a replica, and a checksum, as does the header. Regions and entries are
 * identified by the index at which they begin. Times are microseconds on the pooler's clock.
 */
final class RoleTableCopy extends TableCopy {
    /** Value for which there is no time yet; less than any time. */
    static final long NO_TIME = 0;
    /** Result of a search that found no entry. */
    static final int NOT_FOUND = -1;

    private static final int BUCKET_BITS = 8;
    private static final int BUCKETS = 1 << BUCKET_BITS;
    /** Entries of a bucket: with a thousand members, hardly any bucket is full. */
    private static final int BUCKET_ENTRIES = 8;

    // Offsets in a region, after the header of its owner.
    private static final int POOLER_STARTED_US = OwnedRegion.HEADER_LONGS;
    private static final int MISSING_UP_TO_US = POOLER_STARTED_US + 1;
    private static final int CHANGES = MISSING_UP_TO_US + 1;
    private static final int HEADER_CHECKSUM = CHANGES + 1;
    /** Length of the header of a region. */
    static final int HEADER_LONGS = HEADER_CHECKSUM + 1;

    // Offsets in an entry.
    private static final int KEY = 0;
    private static final int PRIMARY_AT_US = 1;
    private static final int REPLICA_AT_US = 2;
    private static final int CHECKSUM = 3;
    /** Length of an entry. */
    static final int ENTRY_LONGS = 4;

    private static final int BUCKET_LONGS = BUCKET_ENTRIES * ENTRY_LONGS;
    /** Length of a region. */
    static final int REGION_LONGS = HEADER_LONGS + BUCKETS * BUCKET_LONGS;
    /** Length of the table. */
    static final int LONGS = OwnedRegion.REGIONS * REGION_LONGS;

    /** Key of an entry that has never been used; no entry follows it in its bucket. */
    private static final long NO_KEY = 0;

    RoleTableCopy() {
        super(LONGS);
    }

    // ---- Headers. ----

    /** Returns the start of the pooler: evidence from before does not count. */
    long poolerStartedUs(int region) {
        return values[region + POOLER_STARTED_US];
    }

    /** Returns the time up to which evidence may be missing from a region. */
    long missingUpToUs(int region) {
        return values[region + MISSING_UP_TO_US];
    }

    /** Returns the number of changes that owners have made to the entries of a region. */
    long changes(int region) {
        return values[region + CHANGES];
    }

    /** Completes the header of a region, the part of the owner included. */
    void setHeader(int region, long poolerStartedUs, long missingUpToUs) {
        values[region + POOLER_STARTED_US] = poolerStartedUs;
        values[region + MISSING_UP_TO_US] = missingUpToUs;
        values[region + HEADER_CHECKSUM] = headerChecksum(region);
    }

    boolean isHeaderIntact(int region) {
        return values[region + HEADER_CHECKSUM] == headerChecksum(region);
    }

    private long headerChecksum(int region) {
        long checksum = 0;
        for (int index = region; index < region + HEADER_CHECKSUM; index++) {
            checksum = mix(checksum ^ values[index]);
        }
        return checksum;
    }

    // ---- Entries. ----

    /** Returns the entry of a member in a region, or {@link #NOT_FOUND}. */
    int entryOf(int region, long memberKey) {
        int bucket = bucketOf(region, memberKey);
        for (int entry = bucket; entry < bucket + BUCKET_LONGS; entry += ENTRY_LONGS) {
            if (values[entry + KEY] == memberKey) {
                return entry;
            }
            if (values[entry + KEY] == NO_KEY) {
                return NOT_FOUND;
            }
        }
        return NOT_FOUND;
    }

    /** Returns the entry of a member, else an unused one, else the one with the oldest evidence of the bucket. */
    int entryFor(int region, long memberKey) {
        int bucket = bucketOf(region, memberKey);
        int oldest = bucket;
        for (int entry = bucket; entry < bucket + BUCKET_LONGS; entry += ENTRY_LONGS) {
            long key = values[entry + KEY];
            if (key == memberKey || key == NO_KEY) {
                return entry;
            }
            if (latestUs(entry) < latestUs(oldest)) {
                oldest = entry;
            }
        }
        return oldest;
    }

    /** Whether an entry is in use for another member, and would be replaced. */
    boolean isOfOther(int entry, long memberKey) {
        return values[entry + KEY] != memberKey && values[entry + KEY] != NO_KEY;
    }

    long primaryAtUs(int entry) {
        return values[entry + PRIMARY_AT_US];
    }

    long replicaAtUs(int entry) {
        return values[entry + REPLICA_AT_US];
    }

    /** Returns the time of the latest evidence in an entry. */
    long latestUs(int entry) {
        return Math.max(primaryAtUs(entry), replicaAtUs(entry));
    }

    /** Raises the times of the entry of a member; whatever else the entry contains is replaced. */
    void raise(int region, int entry, long memberKey, long primaryAtUs, long replicaAtUs) {
        boolean isPresent = values[entry + KEY] == memberKey && isIntact(entry);
        values[entry + KEY] = memberKey;
        values[entry + PRIMARY_AT_US] = isPresent ? Math.max(primaryAtUs(entry), primaryAtUs) : primaryAtUs;
        values[entry + REPLICA_AT_US] = isPresent ? Math.max(replicaAtUs(entry), replicaAtUs) : replicaAtUs;
        values[entry + CHECKSUM] = checksum(values, entry);
        values[region + CHANGES]++;
    }

    boolean isIntact(int entry) {
        return values[entry + CHECKSUM] == checksum(values, entry);
    }

    private static long checksum(long[] table, int entry) {
        return mix(mix(mix(table[entry + KEY]) ^ table[entry + PRIMARY_AT_US]) ^ table[entry + REPLICA_AT_US]);
    }

    private static int bucketOf(int region, long memberKey) {
        return region + HEADER_LONGS + StableHash.bucketOf(memberKey, BUCKET_BITS) * BUCKET_LONGS;
    }

    // ---- Whole regions. ----

    /** Receiver of the content of entries. */
    interface EntryConsumer {
        void accept(long memberKey, long primaryAtUs, long replicaAtUs);
    }

    long[] copyOf(int region) {
        return Arrays.copyOfRange(values, region, region + REGION_LONGS);
    }

    void removeEntries(int region) {
        Arrays.fill(values, region + HEADER_LONGS, region + REGION_LONGS, 0);
    }

    /** Passes on the intact entries of the copy of a region. */
    static void forEachIntact(long[] region, EntryConsumer consumer) {
        for (int entry = HEADER_LONGS; entry < REGION_LONGS; entry += ENTRY_LONGS) {
            if (region[entry + KEY] != NO_KEY && region[entry + CHECKSUM] == checksum(region, entry)) {
                consumer.accept(region[entry + KEY], region[entry + PRIMARY_AT_US], region[entry + REPLICA_AT_US]);
            }
        }
    }

    /** The finalizer of the SplitMix64 generator, which changes half of the bits for a change of any one. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
