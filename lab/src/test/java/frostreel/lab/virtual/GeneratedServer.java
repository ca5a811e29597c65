package frostreel.lab.virtual;

import java.util.SplittableRandom;
import org.json.JSONObject;

/** A server of a {@link GeneratedDeployment}: its role, its position in the log, its load and its faults. */
final class GeneratedServer {
    private static final int CORES = 2;
    private static final int MAX_IN_FLIGHT = 40;
    private static final long LOG_DELAY_US = 8_000;
    private static final double CATCH_UP_RATE = 3;

    final String id;
    final int group;
    private final int zone;
    private final boolean firstPrimary;
    boolean primary;
    boolean up = true;
    /** While it is down: whether connections time out instead of being refused. */
    boolean silent;

    boolean draining;
    boolean losesAnswers;
    double slowdown = 1;
    double errorRate;
    int inFlight;
    /** Increases with each stop, so that requests from before it can be recognized. */
    int incarnation;

    private long startedUs;
    /** The position at {@code updatedAtUs}; {@code replayRate} seconds of the log are applied per second since then. */
    private long updatedPositionUs;

    private long updatedAtUs;
    private double replayRate = CATCH_UP_RATE;

    GeneratedServer(String id, int group, int zone, int member) {
        this.id = id;
        this.group = group;
        this.zone = zone;
        firstPrimary = member == 0;
        primary = firstPrimary;
    }

    /** Its entry in the endpoint list; {@code listRole}: when the list reports roles, as the settings state. */
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

    /** The time up to which it has applied all commits; the present on a primary. */
    long positionUs(long nowUs) {
        if (primary) {
            return nowUs;
        }
        long appliedUs = updatedPositionUs + (long) (replayRate * (nowUs - updatedAtUs));
        return Math.max(updatedPositionUs, Math.min(nowUs - LOG_DELAY_US, appliedUs));
    }

    /** Sets how many seconds of the log it applies per second from now on. */
    void replayRate(double rate, long nowUs) {
        updatedPositionUs = positionUs(nowUs);
        updatedAtUs = nowUs;
        replayRate = rate;
    }

    /** Applies the log at its usual rate from now on. */
    void catchUp(long nowUs) {
        replayRate(CATCH_UP_RATE, nowUs);
    }

    boolean isFull() {
        return draining || inFlight >= MAX_IN_FLIGHT;
    }

    /** Begins a request; returns for how long it runs, in microseconds. */
    long begin(double meanWorkUs, SplittableRandom random) {
        inFlight++;
        double work = -StrictMath.log(1 - random.nextDouble()) * meanWorkUs * slowdown;
        return 300 + (long) (work * Math.max(1, (double) inFlight / CORES));
    }

    /** A request that began in this incarnation has ended. */
    void end() {
        inFlight--;
    }

    double utilization() {
        return Math.min(1, (double) inFlight / CORES);
    }

    int queued() {
        return Math.max(0, inFlight - CORES);
    }

    void stop(boolean silently, long nowUs) {
        replayRate(0, nowUs);
        up = false;
        silent = silently;
        primary = false;
        inFlight = 0;
        incarnation++;
    }

    void start(long nowUs) {
        up = true;
        silent = false;
        startedUs = nowUs;
        catchUp(nowUs);
    }
}
