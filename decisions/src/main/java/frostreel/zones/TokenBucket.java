package frostreel.zones;

/** Token bucket whose tokens are microseconds of work. The last request may overdraw it. */
final class TokenBucket {
    private double levelUs;
    private long updatedUs;

    /** Sets the level. With a negative level, the bucket must refill before it admits requests. */
    void reset(long nowUs, double newLevelUs) {
        levelUs = newLevelUs;
        updatedUs = nowUs;
    }

    /**
     * Fills the bucket up to {@code nowUs} and returns its level.
     *
     * @param rate in microseconds of work per microsecond
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
