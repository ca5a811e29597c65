package frostreel.zones;

/** A token bucket whose tokens are microseconds of work. The last request may overdraw it. */
final class TokenBucket {
    private double levelUs;
    private long updatedUs;

    /** Sets the level; below 0 the bucket has to fill first. */
    void reset(long nowUs, double newLevelUs) {
        levelUs = newLevelUs;
        updatedUs = nowUs;
    }

    /**
     * Fills the bucket up to now, and returns its level: {@code rate} in microseconds of work a microsecond.
     */
    double fill(long nowUs, double rate, double capacityUs) {
        double bound = Math.max(capacityUs, Math.min(levelUs, 0));
        levelUs = Math.min(bound, levelUs + rate * (nowUs - updatedUs));
        updatedUs = nowUs;
        return levelUs;
    }

    void take(double workUs) {
        levelUs -= workUs;
    }
}
