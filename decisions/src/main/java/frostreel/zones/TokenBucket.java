package frostreel.zones;

/** A budget of work that fills at a rate and may be overdrawn by the last request, and no further. */
final class TokenBucket {
    private double level;
    private long atUs;

    /** Begins anew; below 0 it must fill first. */
    void reset(long nowUs, double levelUs) {
        level = levelUs;
        atUs = nowUs;
    }

    /** What is in it now, in microseconds of work, when it fills so fast and holds so much. */
    double level(long nowUs, double perUs, double capUs) {
        level = Math.min(Math.max(capUs, Math.min(level, 0)), level + perUs * (nowUs - atUs));
        atUs = nowUs;
        return level;
    }

    void take(double workUs) {
        level -= workUs;
    }
}
