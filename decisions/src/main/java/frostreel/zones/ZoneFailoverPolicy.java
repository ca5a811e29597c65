package frostreel.zones;

import frostreel.routing.LocalityPolicy;
import frostreel.routing.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tiers of preference among zones, with a bound on what spills to the next and a ramp for what comes back.
 *
 * <p>An area, the members of a group in a zone, is lost after failures without a sign of life, sooner where
 * much of its zone is; nothing goes there, and it is probed. What a pooler's nearest tier no longer serves
 * may
 * go to farther ones as far as their budgets reach, what is worth most for its work first; the rest is
 * refused. An area that answers again is taken in over the time in which a cold server warms, starting at a
 * moment that differs from pooler to pooler, each with its part of what the area served before. An area lost
 * again and again must answer for a while first. Writes are none of its matters.
 */
public final class ZoneFailoverPolicy implements LocalityPolicy {
    /** Each farther tier is so many times dearer. */
    private static final double FARTHER = 2;
    /** A tier's budget holds what it gains in this time. */
    private static final double SAVED_US = 500_000;
    /** The worst class may spill only while a budget is at least so full. */
    private static final double RESERVE = 0.7;
    /** A returning member is sent so many times its present share of what it served: it has room for that. */
    private static final double HASTE = 1.5;

    private static final double SPAN_US = 10e6;
    private static final double MEAN = 0.05;
    /** Classes are put in order again after so many reads. */
    private static final int ORDER_EVERY = 500;

    private Router.Settings set;
    private ZoneSettings zones;
    private final double phase;
    private final Map<Long, ZoneReplicas> areas = new HashMap<>();
    private final Map<Integer, ZoneReplicas.Group> groups = new HashMap<>();
    private final Map<Integer, ZoneReplicas.Zone> byZone = new HashMap<>();
    private final List<ZoneReplicas> byHandle = new ArrayList<>();
    private final List<TokenBucket> ramps = new ArrayList<>();
    private final ArrayDeque<Integer> free = new ArrayDeque<>();
    private TokenBucket[] spills;
    private double[] costFactors;
    /** For the overview: reads sent and turned down by tier, and what became of areas. */
    private long[] sent;

    private long[] denied;
    private long losses;
    private long returns;
    private final Rate home = new Rate(SPAN_US);
    /** What the lost and returning areas of nearest tiers served. */
    private double missing;

    private boolean everServed;
    private double[] work = {};
    private double[] reserve = {};
    private int untilOrder = ORDER_EVERY;
    private double anyWork;

    /** {@code phase}: at least 0 and under 1, drawn anew for each pooler. */
    public ZoneFailoverPolicy(Router.Settings settings, ZoneSettings zones, double phase) {
        this.phase = phase;
        configure(zones);
        settings(settings);
    }

    /** What is known of the classes that were there before stays. */
    @Override
    public void settings(Router.Settings settings) {
        set = settings;
        int known = work.length;
        work = Arrays.copyOf(work, settings.classes().size());
        reserve = Arrays.copyOf(reserve, work.length);
        for (int c = known; c < work.length; c++) {
            work[c] = settings.classes().get(c).latencyObjectiveUs() / 5.0;
        }
        anyWork = Arrays.stream(work).min().orElse(1);
        order();
    }

    /** Goes over to other tiers; what is known of areas stays, and the budgets begin empty. */
    public void configure(ZoneSettings settings) {
        zones = settings;
        spills = new TokenBucket[zones.tiers().size() + 1];
        costFactors = new double[spills.length];
        sent = new long[spills.length];
        denied = new long[spills.length];
        for (int t = 0; t < spills.length; t++) {
            spills[t] = new TokenBucket();
            costFactors[t] = Math.pow(FARTHER, t);
        }
        groups.values().forEach(g -> g.nearest = Integer.MAX_VALUE);
        for (ZoneReplicas a : areas.values()) {
            a.tier = zones.tierOf(a.zone.number);
            a.group.nearest = Math.min(a.group.nearest, a.tier);
        }
        missing = 0;
        for (ZoneReplicas a : areas.values()) {
            missing += a.nearest() && a.health != ZoneReplicas.Health.UP ? a.usual(0) : 0;
        }
    }

    // ---- Seats. ----

    @Override
    public int memberHandle(int group, int zone) {
        ZoneReplicas area = areas.computeIfAbsent((long) group << 32 | zone, k -> {
            ZoneReplicas made = new ZoneReplicas(
                    groups.computeIfAbsent(group, g -> new ZoneReplicas.Group()),
                    byZone.computeIfAbsent(zone, ZoneReplicas.Zone::new),
                    zones.tierOf(zone));
            made.zone.areas.add(made);
            return made;
        });
        area.handles++;
        area.group.nearest = Math.min(area.group.nearest, area.tier);
        Integer handle = free.poll();
        if (handle == null) {
            handle = byHandle.size();
            byHandle.add(area);
            ramps.add(new TokenBucket());
        } else {
            byHandle.set(handle, area);
            ramps.set(handle, new TokenBucket());
        }
        return handle;
    }

    @Override
    public void left(int handle) {
        byHandle.get(handle).handles--;
        free.add(handle);
    }

    // ---- Events. ----

    @Override
    public void ended(long nowUs, int handle, Router.Outcome outcome, double workUs) {
        ZoneReplicas a = byHandle.get(handle);
        switch (outcome) {
            case OK -> {
                a.alive(nowUs);
                a.served(nowUs, workUs);
                if (a.nearest() && a.health == ZoneReplicas.Health.UP) {
                    home.add(nowUs, workUs);
                    everServed = true;
                }
            }
            case WRONG_ROLE_OR_STALE, REJECTED, ERROR -> a.alive(nowUs);
            case TIMEOUT, RESET, CONNECT_FAILED -> failed(nowUs, a);
            default -> {}
        }
    }

    @Override
    public void probed(long nowUs, int handle, boolean ok) {
        ZoneReplicas a = byHandle.get(handle);
        if (!ok) {
            failed(nowUs, a);
        } else if (a.answers(nowUs)) {
            returns++;
            if (a.health == ZoneReplicas.Health.UP) {
                regained(nowUs, a);
                return;
            }
            for (int s = 0; s < byHandle.size(); s++) {
                if (byHandle.get(s) == a) {
                    // Poolers that see the return in the same moment must not send in the same moment.
                    ramps.get(s).reset(nowUs, -phase * anyWork);
                }
            }
        }
    }

    private void failed(long nowUs, ZoneReplicas a) {
        if (a.failed(nowUs)) {
            lose(nowUs, a);
        }
        if (a.zone.silent()) {
            for (ZoneReplicas each : a.zone.areas) {
                if (each.open()) {
                    lose(nowUs, each);
                }
            }
        }
    }

    private void lose(long nowUs, ZoneReplicas a) {
        boolean fresh = a.nearest() && a.health == ZoneReplicas.Health.UP;
        losses++;
        a.lose(nowUs);
        if (fresh) {
            home.shift(nowUs, -a.usual(nowUs));
            missing += a.usual(nowUs);
        }
    }

    private void regained(long nowUs, ZoneReplicas a) {
        if (a.nearest()) {
            missing = Math.max(0, missing - a.usualBefore());
            home.shift(nowUs, a.usualBefore());
        }
    }

    @Override
    public void sent(long nowUs, int handle, int cls, double workUs) {
        ZoneReplicas a = byHandle.get(handle);
        sent[a.tier]++;
        work[cls] += MEAN * (workUs - work[cls]);
        anyWork += MEAN * (workUs - anyWork);
        if (--untilOrder <= 0) {
            untilOrder = ORDER_EVERY;
            order();
        }
        if (a.health == ZoneReplicas.Health.RETURNING) {
            ramps.get(handle).take(workUs);
        }
        if (!a.nearest()) {
            spills[a.tier].take(workUs);
        }
    }

    /** What is worth least for its work stands at the top of the reserves. */
    private void order() {
        for (int c = 0; c < work.length; c++) {
            int better = 0;
            for (int o = 0; o < work.length; o++) {
                better += density(o) > density(c) ? 1 : 0;
            }
            reserve[c] = RESERVE * better / Math.max(1, work.length - 1);
        }
    }

    private double density(int cls) {
        return set.classes().get(cls).priorityWeight() / work[cls];
    }

    // ---- Answers. ----

    @Override
    public double costFactor(long nowUs, int handle) {
        ZoneReplicas a = byHandle.get(handle);
        return a.open() ? costFactors[a.tier] : Double.POSITIVE_INFINITY;
    }

    @Override
    public boolean admits(long nowUs, int handle, int cls) {
        ZoneReplicas a = byHandle.get(handle);
        if (!a.open() || a.health == ZoneReplicas.Health.RETURNING && !admits(nowUs, handle, a)) {
            return false;
        }
        if (a.nearest() || !everServed) {
            return true;
        }
        double perUs = zones.tiers().get(a.tier - 1).spill() * (home.at(nowUs) + missing);
        double capUs = Math.max(perUs * SAVED_US, anyWork);
        boolean fits = spills[a.tier].level(nowUs, perUs, capUs) > reserve[cls] * capUs;
        denied[a.tier] += fits ? 0 : 1;
        return fits;
    }

    /** Whether a returning area may be sent one more, at its present share of what it served before. */
    private boolean admits(long nowUs, int handle, ZoneReplicas a) {
        double present = a.present(nowUs, set.rules().coldFrom(), set.rules().warmAfterUs());
        if (present >= 1) {
            regained(nowUs, a);
            a.health = ZoneReplicas.Health.UP;
            return true;
        }
        // One that served this pooler nothing may still be sent a little: a core's work, shared by all
        // poolers.
        double perUs = HASTE * present * Math.max(a.usual(nowUs) / a.handles, 1.0 / zones.poolers());
        return ramps.get(handle)
                        .level(nowUs, perUs, Math.max(perUs * set.rules().fallUs() / 2, anyWork))
                > 0;
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return byHandle.get(handle).probeDue(nowUs);
    }

    /** The overview: areas by zone and health, reads sent and turned down by tier, losses and returns. */
    @Override
    public String toString() {
        Map<Integer, Map<ZoneReplicas.Health, Integer>> healths = new TreeMap<>();
        for (ZoneReplicas a : areas.values()) {
            if (a.handles > 0) {
                healths.computeIfAbsent(a.zone.number, z -> new EnumMap<>(ZoneReplicas.Health.class))
                        .merge(a.health, 1, Integer::sum);
            }
        }
        return "areas=" + healths + " sent_by_tier=" + Arrays.toString(sent) + " denied_by_tier="
                + Arrays.toString(denied) + " losses=" + losses + " returns=" + returns;
    }
}
