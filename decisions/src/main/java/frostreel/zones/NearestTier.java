package frostreel.zones;

/**
 * The nearest tier in which a group ever had a member. It stays when those leave, so that what they served counts as
 * missing.
 */
final class NearestTier {
    private static final int NONE = Integer.MAX_VALUE;
    private int tier = NONE;

    /** The group has members in this tier. */
    void include(int memberTier) {
        tier = Math.min(tier, memberTier);
    }

    /** Whether no member of the group ever was nearer than those in this tier. */
    boolean isNearest(int memberTier) {
        return memberTier <= tier;
    }

    /** Tiers have changed: those with members have to be included again. */
    void reset() {
        tier = NONE;
    }
}
