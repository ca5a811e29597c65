package frostreel.zones;

/** A budget of work that fills at a rate and may be overdrawn by the last request, and no further. */
final class TokenBucket {
    private double levelUs;
    private long updatedUs;

    /** Begins anew; below 0 it must fill first. */
    void reset(long nowUs, double newLevelUs) {
        levelUs = newLevelUs;
        updatedUs = nowUs;
    }

    /** What is in it now, in microseconds of work, when it fills so fast and holds so much. */
    double fill(long nowUs, double ratePerUs, double capacityUs) {
        levelUs = Math.min(Math.max(capacityUs, Math.min(levelUs, 0)), levelUs + ratePerUs * (nowUs - updatedUs));
        updatedUs = nowUs;
        return levelUs;
    }

    void take(double workUs) {
        levelUs -= workUs;
    }
}
