package frostreel.zones;

/**
 * The nearest tier in which a group has ever had a member. {@link ZoneFailoverPolicy} limits reads to farther tiers
 * by spill budgets, but not reads to the nearest one. The tier is therefore kept when its members leave; otherwise
 * the next tier would become the nearest one, and all their load could spill over to it.
 */
final class NearestTier {
    private static final int NONE = Integer.MAX_VALUE;
    private int tier = NONE;

    /** Records that the group has members in this tier. */
    void include(int memberTier) {
        tier = Math.min(tier, memberTier);
    }

    /** Whether the group has never had a member in a tier nearer than this one. */
    boolean isNearest(int memberTier) {
        return memberTier <= tier;
    }

    /** Clears the tier after a change of tiers; tiers with members must then be included again. */
    void reset() {
        tier = NONE;
    }
}
