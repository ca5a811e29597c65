package frostreel.routing;

/** Hash of ids that is the same in every process and version, as it is stored and shared. */
public final class StableHash {
    // The FNV-1a hash of 64 bits, at which two of ten thousand ids collide once in 10^11 cases.
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Multiplier that spreads keys evenly over buckets: 2^64 divided by the golden ratio. */
    private static final long FIBONACCI_HASH = 0x9E3779B97F4A7C15L;

    private StableHash() {}

    /** Returns the key of an id, a number other than 0. */
    public static long keyOf(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }

    /** Returns the bucket of a key, from 0 to 2^{@code bucketBits} - 1. */
    public static int bucketOf(long key, int bucketBits) {
        return (int) ((key * FIBONACCI_HASH) >>> (Long.SIZE - bucketBits));
    }
}
