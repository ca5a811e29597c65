package frostreel.zones;

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
    private static final int FAILURES = 3;
    /** After a sign of life failures do not count at once: they may be older than it. */
    private static final long ALIVE_US = 200_000;

    private static final long PROBE_US = 500_000;
    /** A loss weighs so long in the damping of the next return. */
    private static final double FLAP_FADE_US = 60e6;
    /** The second loss within the fading time holds a return for so long, each further one twice as long. */
    private static final double HOLD_US = 2e6;

    private static final double MOST_HOLD_US = 60e6;
    private static final double SERVED_SPAN_US = 10e6;

    /** What a group's areas share: its nearest tier, which never grows farther: gone members are missed. */
    static final class Group {
        int nearest = Integer.MAX_VALUE;
    }

    /**
     * What the areas of a zone tell of it together: few reads an area go a long way when they are added up.
     */
    static final class Zone {
        /**
         * So many failures on end in two areas or more, with no sign of life anywhere, and all of it is lost.
         */
        private static final int FAILURES = 4;

        final int number;
        final List<ZoneReplicas> areas = new ArrayList<>();
        private int failures;
        private ZoneReplicas failedFirst;
        private boolean spread;
        private long aliveAt = Long.MIN_VALUE / 2;

        Zone(int number) {
            this.number = number;
        }

        private void alive(long nowUs) {
            failures = 0;
            spread = false;
            failedFirst = null;
            aliveAt = nowUs;
        }

        private void failed(long nowUs, ZoneReplicas area) {
            if (nowUs - aliveAt > ALIVE_US) {
                failures++;
                failedFirst = failedFirst == null ? area : failedFirst;
                spread |= failedFirst != area;
            }
        }

        /** Whether nothing in it says a word. */
        boolean silent() {
            return spread && failures >= FAILURES;
        }
    }

    final Group group;
    final Zone zone;
    int tier;
    int handles;
    Health health = Health.UP;
    private final Rate served = new Rate(SERVED_SPAN_US);
    /** What it served this pooler before it was lost. */
    private double usual;

    private int failures;
    private boolean suspected;
    private long aliveAt = Long.MIN_VALUE / 2;
    private double flaps;
    private long flapsAt;
    private long answersSince;
    private long returnedAt;
    private long probeAt;

    ZoneReplicas(Group group, Zone zone, int tier) {
        this.group = group;
        this.zone = zone;
        this.tier = tier;
    }

    boolean nearest() {
        return tier <= group.nearest;
    }

    void alive(long nowUs) {
        failures = 0;
        aliveAt = nowUs;
        zone.alive(nowUs);
    }

    void served(long nowUs, double workUs) {
        served.add(nowUs, workUs);
    }

    /** Counts a failure; true where the area is lost by it. */
    boolean failed(long nowUs) {
        failures++;
        zone.failed(nowUs, this);
        return health != Health.LOST && nowUs - aliveAt > ALIVE_US && failures >= (health != Health.UP ? 1 : FAILURES);
    }

    /**
     * Nothing goes there from now on. One that is lost for its silent zone alone, with no failure of its own,
     * is as good as before if the first probe says so.
     */
    void lose(long nowUs) {
        suspected = failures == 0;
        if (health == Health.UP) {
            usual = served.at(Math.max(aliveAt, 0));
        }
        if (!suspected) {
            flaps = flaps(nowUs) + 1;
            flapsAt = nowUs;
        }
        health = Health.LOST;
        probeAt = nowUs;
    }

    private double flaps(long nowUs) {
        return flaps * Math.exp((flapsAt - nowUs) / FLAP_FADE_US);
    }

    /** How long it must answer before it is taken in again: at once after a first loss. */
    private double holdUs(long nowUs) {
        return Math.min(MOST_HOLD_US, HOLD_US * (Math.pow(2, Math.max(0, flaps(nowUs) - 1.2)) - 1));
    }

    /** A probe was answered; true where the area returns by it. */
    boolean answers(long nowUs) {
        boolean unharmed = suspected && failures == 0;
        alive(nowUs);
        if (health == Health.LOST && unharmed) {
            health = Health.UP;
            return true;
        }
        if (health == Health.LOST) {
            health = Health.HELD;
            answersSince = nowUs;
        }
        if (health == Health.HELD && nowUs - answersSince >= holdUs(answersSince)) {
            health = Health.RETURNING;
            returnedAt = nowUs;
            return true;
        }
        return false;
    }

    boolean open() {
        return health == Health.UP || health == Health.RETURNING;
    }

    boolean probeDue(long nowUs) {
        if (open() || nowUs < probeAt) {
            return false;
        }
        probeAt = nowUs + PROBE_US;
        return true;
    }

    /** Its share of what it can do warm, from its return on: its members may all have just started. */
    double present(long nowUs, double coldFrom, long warmAfterUs) {
        return Math.min(1, coldFrom + (1 - coldFrom) * (nowUs - returnedAt) / warmAfterUs);
    }

    /** What it served before it was last lost. */
    double usualBefore() {
        return usual;
    }

    double usual(long nowUs) {
        return health == Health.UP ? served.at(nowUs) : usual;
    }
}
