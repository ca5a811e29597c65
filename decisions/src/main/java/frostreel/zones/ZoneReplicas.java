package frostreel.zones;

import frostreel.routing.DecayingRate;

/**
 * The replicas of one group in one zone: their health as this pooler observes it, and what they usually serve
 * it.
 *
 * <p>{@code UP} becomes {@code DOWN} by consecutive failures; {@code DOWN} becomes {@code PROBATION} by the
 * first health check that succeeds, and {@code RECOVERING} after the delay of {@link FlapDamping}; {@code
 * RECOVERING} becomes {@code UP} at the end of the ramp, or {@code DOWN} by a single failure.
 */
final class ZoneReplicas {
    /** Whether requests are sent to the replicas. */
    enum Health {
        /** Requests are sent. */
        UP,
        /** No requests are sent: the replicas have failed. */
        DOWN,
        /** No requests are sent yet: health checks succeed, but the replicas have failed too often recently. */
        PROBATION,
        /** Requests are sent, at a share that grows. */
        RECOVERING
    }

    /** Consecutive failures by which replicas go down that are up. */
    private static final int FAILURES_TO_MARK_DOWN = 3;
    /** Consecutive failures by which replicas go down that are recovering or on probation. */
    private static final int FAILURES_TO_MARK_RECOVERING_DOWN = 1;
    /** How often replicas are health-checked that may be sent nothing. */
    private static final long HEALTH_CHECK_INTERVAL_US = 500_000;
    /** What they serve is averaged over this time. */
    static final long RATE_TIME_CONSTANT_US = 10_000_000;

    private final NearestTier nearestTier;
    private final ZoneFailureDetector zoneDetector;
    private final FlapDamping damping = new FlapDamping();
    private final DecayingRate servedRate = new DecayingRate(() -> RATE_TIME_CONSTANT_US);
    private int tier;
    private int members;
    private Health health = Health.UP;
    private double rateBeforeOutage;
    private int failures;
    /** Whether they went down with their zone, without a failure of their own. */
    private boolean downWithZone;

    private long lastSuccessUs = ZoneFailureDetector.NEVER_US;
    private long probationSinceUs;
    private long recoveringSinceUs;
    private long nextHealthCheckUs;

    ZoneReplicas(NearestTier nearestTier, ZoneFailureDetector zoneDetector, int tier) {
        this.nearestTier = nearestTier;
        this.zoneDetector = zoneDetector;
        this.tier = tier;
        zoneDetector.add(this);
    }

    int zone() {
        return zoneDetector.zone;
    }

    ZoneFailureDetector zoneDetector() {
        return zoneDetector;
    }

    int tier() {
        return tier;
    }

    /** Moves them to a tier, which counts for their group's nearest one. */
    void assignTier(int newTier) {
        tier = newTier;
        nearestTier.include(newTier);
    }

    /** Whether they are in the nearest tier of their group. */
    boolean isNearest() {
        return nearestTier.isNearest(tier);
    }

    int members() {
        return members;
    }

    void addMember() {
        members++;
        nearestTier.include(tier);
    }

    void removeMember() {
        members--;
    }

    Health health() {
        return health;
    }

    boolean isUp() {
        return health == Health.UP;
    }

    boolean isRecovering() {
        return health == Health.RECOVERING;
    }

    /** Whether requests may be sent. */
    boolean isRoutable() {
        return isUp() || isRecovering();
    }

    void recordSuccess(long nowUs) {
        failures = 0;
        lastSuccessUs = nowUs;
        zoneDetector.recordSuccess(nowUs);
    }

    void recordServed(long nowUs, double workUs) {
        servedRate.add(nowUs, workUs);
    }

    /** Records a failure; true where the replicas go down by it, and {@link #markDown} has to follow. */
    boolean recordFailure(long nowUs) {
        failures++;
        zoneDetector.recordFailure(nowUs, this);
        boolean respondedRecently = nowUs - lastSuccessUs <= ZoneFailureDetector.SUCCESS_GRACE_US;
        return health != Health.DOWN && !respondedRecently && failures >= failuresToMarkDown();
    }

    private int failuresToMarkDown() {
        return isUp() ? FAILURES_TO_MARK_DOWN : FAILURES_TO_MARK_RECOVERING_DOWN;
    }

    /**
     * Stops requests. Where it is for the zone alone, the first successful health check brings the replicas
     * back as before.
     */
    void markDown(long nowUs) {
        downWithZone = failures == 0;
        if (isUp()) {
            rateBeforeOutage = servedRate.at(Math.max(lastSuccessUs, 0)); // It may never have answered.
        }
        if (!downWithZone) {
            damping.recordFailure(nowUs);
        }
        health = Health.DOWN;
        nextHealthCheckUs = nowUs;
    }

    /** Records a successful health check; true where it lets requests be sent again. */
    boolean recordHealthy(long nowUs) {
        boolean failedOnlyWithZone = downWithZone && failures == 0;
        recordSuccess(nowUs);
        if (health == Health.DOWN && failedOnlyWithZone) {
            health = Health.UP;
            return true;
        }
        if (health == Health.DOWN) {
            health = Health.PROBATION;
            probationSinceUs = nowUs;
        }
        if (health == Health.PROBATION && isProbationOver(nowUs)) {
            health = Health.RECOVERING;
            recoveringSinceUs = nowUs;
            return true;
        }
        return false;
    }

    private boolean isProbationOver(long nowUs) {
        return nowUs - probationSinceUs >= damping.delayUs(probationSinceUs);
    }

    /** Ends the ramp. */
    void completeRecovery() {
        health = Health.UP;
    }

    /** Whether a health check is due; where it is, the next one is due after the interval. */
    boolean healthCheckDue(long nowUs) {
        if (isRoutable() || nowUs < nextHealthCheckUs) {
            return false;
        }
        nextHealthCheckUs = nowUs + HEALTH_CHECK_INTERVAL_US;
        return true;
    }

    /** The share of their full capacity that they have at the least by now: all of them may have restarted. */
    double rampShare(long nowUs, double coldShare, long warmAfterUs) {
        double share = coldShare + (1 - coldShare) * (nowUs - recoveringSinceUs) / warmAfterUs;
        return Math.min(1, share);
    }

    /** What they served before they last went down, in microseconds of work a microsecond. */
    double rateBeforeOutage() {
        return rateBeforeOutage;
    }

    /** What they usually serve, in microseconds of work a microsecond: now, or before they went down. */
    double usualRate(long nowUs) {
        return isUp() ? servedRate.at(nowUs) : rateBeforeOutage;
    }
}
