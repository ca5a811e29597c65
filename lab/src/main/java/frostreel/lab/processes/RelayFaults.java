package frostreel.lab.processes;

/** The present faults of the network that a relay stands for; all its connections share them. */
final class RelayFaults {
    /** A direction of a connection through the relay. */
    enum Direction {
        /** From the end that connected to the relay to the one that the relay connects to. */
        TO_FAR,
        /** The opposite direction. */
        TO_NEAR
    }

    private static final long US_PER_SECOND = 1_000_000;

    private boolean toFarCut;
    private boolean toNearCut;
    private long delayUs = NetworkFaults.NO_DELAY;
    private long bytesPerSecond = NetworkFaults.UNBOUNDED;

    /** Cuts or heals each direction; returns whether this heals any. */
    boolean cut(boolean toFar, boolean toNear) {
        boolean healed = (toFarCut && !toFar) || (toNearCut && !toNear);
        toFarCut = toFar;
        toNearCut = toNear;
        return healed;
    }

    boolean isCut(Direction direction) {
        return direction == Direction.TO_FAR ? toFarCut : toNearCut;
    }

    boolean isCut() {
        return toFarCut || toNearCut;
    }

    void delay(long newDelayUs) {
        delayUs = newDelayUs;
    }

    /** By how much each byte is delayed, each way. */
    long delayUs() {
        return delayUs;
    }

    void slow(long newBytesPerSecond) {
        bytesPerSecond = newBytesPerSecond;
    }

    /** How long a connection needs for so many bytes one way. */
    long transferUs(int bytes) {
        return bytesPerSecond == NetworkFaults.UNBOUNDED ? 0 : bytes * US_PER_SECOND / bytesPerSecond;
    }
}
