package frostreel.zones;

import frostreel.routing.DecayingRate;
import java.util.ArrayList;
import java.util.List;

/** The members of one group in one zone: what this pooler saw of them, and whether reads may go there. */
final class ZoneReplicas {
    /** HELD: it answers probes again, and has been lost too often of late to be believed at once. */
    enum Health {
        UP,
        LOST,
        HELD,
        RETURNING
    }

    /** So many failures on end, with no sign of life between, and it is lost. */
    private static final int FAILURES_TO_LOSE = 3;
    /** After a sign of life failures do not count at once: they may be older than it. */
    private static final long SUCCESS_GRACE_US = 200_000;

    private static final long HEALTH_CHECK_INTERVAL_US = 500_000;
    /** A loss weighs so long in the damping of the next return. */
    private static final double FLAP_FADE_US = 60e6;
    /** The second loss within the fading time holds a return for so long, each further one twice as long. */
    private static final double HOLD_US = 2e6;

    private static final double MAX_HOLD_US = 60e6;
    private static final long SERVED_SPAN_US = 10_000_000;

    /** What a group's areas share: its nearest tier, which never grows farther: gone members are missed. */
    static final class NearestTier {
        int tier = Integer.MAX_VALUE;
    }

    /**
     * What the areas of a zone tell of it together: few reads an area go a long way when they are added up.
     */
    static final class ZoneFailureDetector {
        /**
         * So many failures on end in two areas or more, with no sign of life anywhere, and all of it is lost.
         */
        private static final int FAILURES_TO_LOSE = 4;

        final int zone;
        final List<ZoneReplicas> replicaSets = new ArrayList<>();
        private int failures;
        private ZoneReplicas firstFailed;
        private boolean severalFailed;
        private long lastSuccessUs = Long.MIN_VALUE / 2;

        ZoneFailureDetector(int zone) {
            this.zone = zone;
        }

        private void recordSuccess(long nowUs) {
            failures = 0;
            severalFailed = false;
            firstFailed = null;
            lastSuccessUs = nowUs;
        }

        private void recordFailure(long nowUs, ZoneReplicas replicas) {
            if (nowUs - lastSuccessUs > SUCCESS_GRACE_US) {
                failures++;
                firstFailed = firstFailed == null ? replicas : firstFailed;
                severalFailed |= firstFailed != replicas;
            }
        }

        /** Whether nothing in it says a word. */
        boolean hasFailed() {
            return severalFailed && failures >= FAILURES_TO_LOSE;
        }
    }

    final NearestTier nearestTier;
    final ZoneFailureDetector zone;
    int tier;
    int members;
    Health health = Health.UP;
    private final DecayingRate served = new DecayingRate(() -> SERVED_SPAN_US);
    /** What it served this pooler before it was lost. */
    private double servedBeforeLoss;

    private int failures;
    private boolean lostWithZone;
    private long lastSuccessUs = Long.MIN_VALUE / 2;
    private double flaps;
    private long flapsUpdatedUs;
    private long heldSinceUs;
    private long returningSinceUs;
    private long nextHealthCheckUs;

    ZoneReplicas(NearestTier nearestTier, ZoneFailureDetector zone, int tier) {
        this.nearestTier = nearestTier;
        this.zone = zone;
        this.tier = tier;
    }

    boolean isNearest() {
        return tier <= nearestTier.tier;
    }

    void recordSuccess(long nowUs) {
        failures = 0;
        lastSuccessUs = nowUs;
        zone.recordSuccess(nowUs);
    }

    void recordServed(long nowUs, double workUs) {
        served.add(nowUs, workUs);
    }

    /** Counts a failure; true where the area is lost by it. */
    boolean recordFailure(long nowUs) {
        failures++;
        zone.recordFailure(nowUs, this);
        return health != Health.LOST && nowUs - lastSuccessUs > SUCCESS_GRACE_US && failures >= (health != Health.UP ? 1 : FAILURES_TO_LOSE);
    }

    /**
     * Nothing goes there from now on. One that is lost for its silent zone alone, with no failure of its own,
     * is as good as before if the first probe says so.
     */
    void lose(long nowUs) {
        lostWithZone = failures == 0;
        if (health == Health.UP) {
            servedBeforeLoss = served.at(Math.max(lastSuccessUs, 0));
        }
        if (!lostWithZone) {
            flaps = flaps(nowUs) + 1;
            flapsUpdatedUs = nowUs;
        }
        health = Health.LOST;
        nextHealthCheckUs = nowUs;
    }

    private double flaps(long nowUs) {
        return flaps * Math.exp((flapsUpdatedUs - nowUs) / FLAP_FADE_US);
    }

    /** How long it must answer before it is taken in again: at once after a first loss. */
    private double holdUs(long nowUs) {
        return Math.min(MAX_HOLD_US, HOLD_US * (Math.pow(2, Math.max(0, flaps(nowUs) - 1.2)) - 1));
    }

    /** A probe was answered; true where the area returns by it. */
    boolean recordHealthy(long nowUs) {
        boolean unharmed = lostWithZone && failures == 0;
        recordSuccess(nowUs);
        if (health == Health.LOST && unharmed) {
            health = Health.UP;
            return true;
        }
        if (health == Health.LOST) {
            health = Health.HELD;
            heldSinceUs = nowUs;
        }
        if (health == Health.HELD && nowUs - heldSinceUs >= holdUs(heldSinceUs)) {
            health = Health.RETURNING;
            returningSinceUs = nowUs;
            return true;
        }
        return false;
    }

    boolean isOpen() {
        return health == Health.UP || health == Health.RETURNING;
    }

    boolean healthCheckDue(long nowUs) {
        if (isOpen() || nowUs < nextHealthCheckUs) {
            return false;
        }
        nextHealthCheckUs = nowUs + HEALTH_CHECK_INTERVAL_US;
        return true;
    }

    /** Its share of what it can do warm, from its return on: its members may all have just started. */
    double rampShare(long nowUs, double coldShare, long warmAfterUs) {
        return Math.min(1, coldShare + (1 - coldShare) * (nowUs - returningSinceUs) / warmAfterUs);
    }

    /** What it served before it was last lost. */
    double servedBeforeLoss() {
        return servedBeforeLoss;
    }

    double usualRate(long nowUs) {
        return health == Health.UP ? served.at(nowUs) : servedBeforeLoss;
    }
}
