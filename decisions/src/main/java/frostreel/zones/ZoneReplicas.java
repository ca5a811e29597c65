package frostreel.zones;

import frostreel.routing.DecayingRate;

/**
 * The members of one group in one zone, called replicas even if one of them is the primary: their health as observed
 * by this pooler, and the load that they usually serve for it.
 *
 * <p>Consecutive failures change {@code UP} to {@code DOWN}. The first successful health check changes {@code DOWN}
 * to {@code PROBATION}, which becomes {@code RECOVERING} after the delay of {@link FlapDamping}. If the replicas went
 * down only with their zone, that check changes {@code DOWN} to {@code UP} instead. {@code RECOVERING} becomes {@code
 * UP} at the end of the ramp. A single failure changes {@code PROBATION} and {@code RECOVERING} to {@code DOWN}.
 */
final class ZoneReplicas {
    /** Health of the replicas, which determines whether they get requests. */
    enum Health {
        /** Requests are sent. */
        UP,
        /** No requests are sent, because the replicas have failed. */
        DOWN,
        /** No requests are sent yet: health checks succeed, but the replicas have failed too often recently. */
        PROBATION,
        /** Requests are sent at an increasing rate. */
        RECOVERING
    }

    /** Consecutive failures after which replicas that are up are marked down. */
    private static final int FAILURES_TO_MARK_DOWN = 3;
    /** Consecutive failures after which replicas that are recovering or on probation are marked down. */
    private static final int FAILURES_TO_MARK_RECOVERING_DOWN = 1;
    /** Interval of health checks for replicas that get no requests. */
    private static final long HEALTH_CHECK_INTERVAL_US = 500_000;
    /** Time constant of the moving average of the load served. */
    static final long RATE_TIME_CONSTANT_US = 10_000_000;

    private final NearestTier nearestTier;
    private final ZoneFailureDetector zoneDetector;
    private final FlapDamping damping = new FlapDamping();
    private final DecayingRate servedRate = new DecayingRate(() -> RATE_TIME_CONSTANT_US);
    private int tier;
    private int members;
    private Health health = Health.UP;
    /** Load before the last outage, in microseconds of work per microsecond. */
    private double rateBeforeOutage;

    private int failures;
    /** Whether the replicas were marked down together with their zone, without a failure of their own. */
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

    /** Moves the replicas to a tier, and includes it in the nearest tier of their group. */
    void assignTier(int newTier) {
        tier = newTier;
        nearestTier.include(newTier);
    }

    /** Whether the replicas are in the nearest tier of their group. */
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

    /** Whether requests may be sent to the replicas. */
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

    /** Records a failure; returns true if the caller must mark the replicas down by {@link #markDown}. */
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
     * Stops requests to the replicas. If they had no failure of their own, the first successful health check marks
     * them up again without a ramp.
     */
    void markDown(long nowUs) {
        downWithZone = failures == 0;
        if (isUp()) {
            rateBeforeOutage = servedRate.at(Math.max(lastSuccessUs, 0)); // There may have been no success yet.
        }
        if (!downWithZone) {
            damping.recordFailure(nowUs);
        }
        health = Health.DOWN;
        nextHealthCheckUs = nowUs;
    }

    /** Records a successful health check; returns true if requests may be sent again because of it. */
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
        // The delay as of the start of the probation, since it shrinks as the failure weight decays.
        return nowUs - probationSinceUs >= damping.delayUs(probationSinceUs);
    }

    /** Ends the ramp and marks the replicas up. */
    void completeRecovery() {
        health = Health.UP;
    }

    /** Whether a health check is due; if it is, schedules the next one after the interval. */
    boolean healthCheckDue(long nowUs) {
        if (isRoutable() || nowUs < nextHealthCheckUs) {
            return false;
        }
        nextHealthCheckUs = nowUs + HEALTH_CHECK_INTERVAL_US;
        return true;
    }

    /** Lower bound on the share of their full capacity that the replicas have now, since all may have restarted. */
    double rampShare(long nowUs, double initialCapacityShare, long warmUpUs) {
        double share = initialCapacityShare + (1 - initialCapacityShare) * (nowUs - recoveringSinceUs) / warmUpUs;
        return Math.min(1, share);
    }

    /** Load before the last outage, in microseconds of work per microsecond. */
    double rateBeforeOutage() {
        return rateBeforeOutage;
    }

    /**
     * Load that the replicas usually serve, in microseconds of work per microsecond: the current load, or the load
     * before the outage unless they are up.
     */
    double usualRate(long nowUs) {
        return isUp() ? servedRate.at(nowUs) : rateBeforeOutage;
    }
}
