package frostreel.zones;

/** Work per time, over about the last so many microseconds. */
final class Rate {
    private final double spanUs;
    private double perUs;
    private long atUs;

    Rate(double spanUs) {
        this.spanUs = spanUs;
    }

    /** Microseconds of work in a microsecond. */
    double at(long nowUs) {
        return perUs * Math.exp((atUs - nowUs) / spanUs);
    }

    /** What was counted elsewhere joins it, or with a minus leaves it. */
    void shift(long nowUs, double byPerUs) {
        perUs = Math.max(0, at(nowUs) + byPerUs);
        atUs = nowUs;
    }

    void add(long nowUs, double workUs) {
        perUs = at(nowUs) + workUs / spanUs;
        atUs = nowUs;
    }
}
