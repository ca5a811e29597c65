package frostreel.routing;

/**
 * A lower bound on the present time of the clock by which members are listed as started. No member has applied commits
 * of the future, so each reported position shows that its time has come, whatever the clock of this process says.
 */
final class ProvenTime {
    /** No position has been reported yet. */
    private static final long NONE = Long.MIN_VALUE;

    /** The most by which a reported position was ahead of this process's clock; negative if all were behind it. */
    private long largestLeadUs = NONE;

    /** Records a position that was reported just now. */
    void recordPosition(long nowUs, long positionUs) {
        largestLeadUs = Math.max(largestLeadUs, positionUs - nowUs);
    }

    /** Returns the present time as far as positions prove it, never later than this process's clock. */
    long at(long nowUs) {
        return largestLeadUs == NONE ? nowUs : nowUs + Math.min(0, largestLeadUs);
    }
}
