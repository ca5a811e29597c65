package frostreel.lab.virtual;

import java.util.SplittableRandom;
import org.json.JSONObject;

/** A server of {@link WireEventGenerator}: its role, how far it has applied the log, and how it fares. */
final class GeneratedServer {
    private static final int CORES = 2;
    private static final int PLACES = 40;
    private static final long LOG_DELAY_US = 8_000;
    private static final double CATCH_UP_RATE = 3;

    final String id;
    final int group;
    private final int zone;
    private final boolean firstPrimary;
    boolean primary;
    boolean up = true;
    /** While it is down: says nothing at all, in place of refusing connections. */
    boolean silent;

    boolean draining;
    boolean losesAnswers;
    double slowdown = 1;
    double errorRate;
    int inFlight;
    /** Goes up with every stop, so that what it held then can be told from what came later. */
    int life;

    private long startedUs;
    /** The position at {@code markUs}; from there on it applies {@code applyRate} seconds of the log a second. */
    private long markedPositionUs;

    private long markUs;
    private double applyRate = CATCH_UP_RATE;

    GeneratedServer(String id, int group, int zone, int member) {
        this.id = id;
        this.group = group;
        this.zone = zone;
        firstPrimary = member == 0;
        primary = firstPrimary;
    }

    JSONObject entry(String listRole) {
        boolean listed = listRole.equals("late") ? primary : listRole.equals("start") && firstPrimary;
        JSONObject entry = new JSONObject()
                .put("member", id)
                .put("site", zone)
                .put("hw", 0)
                .put("leads", listed ? 1 : 0)
                .put("set", group)
                .put("status", !up ? "D" : draining ? "L" : "U")
                .put("scale", 1);
        return startedUs == 0 ? entry : entry.put("cameUpS", startedUs / 1e6);
    }

    /** Up to which time it has applied all commits; a primary stands at the present. */
    long positionUs(long nowUs) {
        if (primary) {
            return nowUs;
        }
        long appliedUs = markedPositionUs + (long) (applyRate * (nowUs - markUs));
        return Math.max(markedPositionUs, Math.min(nowUs - LOG_DELAY_US, appliedUs));
    }

    /** From now on it applies so many seconds of the log in a second. */
    void applies(double rate, long nowUs) {
        markedPositionUs = positionUs(nowUs);
        markUs = nowUs;
        applyRate = rate;
    }

    void catchesUp(long nowUs) {
        applies(CATCH_UP_RATE, nowUs);
    }

    boolean full() {
        return draining || inFlight >= PLACES;
    }

    /** Takes a request; returns for how long it is at work on it. */
    long begins(double meanWorkUs, SplittableRandom random) {
        inFlight++;
        double work = -StrictMath.log(1 - random.nextDouble()) * meanWorkUs * slowdown;
        return 300 + (long) (work * Math.max(1, (double) inFlight / CORES));
    }

    /** One that it held has ended; {@code same}: it has not stopped since it began. */
    void ends(boolean same) {
        if (same) {
            inFlight--;
        }
    }

    double utilisation() {
        return Math.min(1, (double) inFlight / CORES);
    }

    int queued() {
        return Math.max(0, inFlight - CORES);
    }

    void stop(boolean silently, long nowUs) {
        applies(0, nowUs);
        up = false;
        silent = silently;
        primary = false;
        inFlight = 0;
        life++;
    }

    void start(long nowUs) {
        up = true;
        silent = false;
        startedUs = nowUs;
        catchesUp(nowUs);
    }
}
