package frostreel.zones;

import frostreel.routing.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import frostreel.routing.DecayingRate;
import frostreel.routing.Router;

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
public final class ZoneFailoverPolicy implements Router.LocalityPolicy {
    /** Each farther tier is so many times dearer. */
    private static final double COST_PER_TIER = 2;
    /** A tier's budget holds what it gains in this time. */
    private static final double BUDGET_CAPACITY_US = 500_000;
    /** The worst class may spill only while a budget is at least so full. */
    private static final double MAX_RESERVE = 0.7;
    /** A returning member is sent so many times its present share of what it served: it has room for that. */
    private static final double RAMP_HEADROOM = 1.5;

    private static final long SERVED_SPAN_US = 10_000_000;
    private static final double WORK_SMOOTHING = 0.05;
    /** Classes are put in order again after so many reads. */
    private static final int REQUESTS_BETWEEN_RANKINGS = 500;

    private Router.Settings routing;
    private ZoneSettings zones;
    private final double rampPhase;
    private final Map<Long, ZoneReplicas> replicaSets = new HashMap<>();
    private final Map<Integer, ZoneReplicas.NearestTier> nearestTiers = new HashMap<>();
    private final Map<Integer, ZoneReplicas.ZoneFailureDetector> zoneDetectors = new HashMap<>();
    private final List<ZoneReplicas> replicasByHandle = new ArrayList<>();
    private final List<TokenBucket> rampByHandle = new ArrayList<>();
    private final ArrayDeque<Integer> freeHandles = new ArrayDeque<>();
    private TokenBucket[] budgets;
    private double[] costFactors;
    /** For the overview: reads sent and turned down by tier, and what became of areas. */
    private long[] sentByTier;

    private long[] deniedByTier;
    private long losses;
    private long returns;
    private final DecayingRate nearestServed = new DecayingRate(() -> SERVED_SPAN_US);
    /** What the lost and returning areas of nearest tiers served. */
    private double lostRate;

    private boolean nearestHasServed;
    private double[] workByClass = {};
    private double[] reserveByClass = {};
    private int untilRanking = REQUESTS_BETWEEN_RANKINGS;
    private double meanWorkUs;

    /** {@code rampPhase}: at least 0 and under 1, drawn anew for each pooler. */
    public ZoneFailoverPolicy(Router.Settings settings, ZoneSettings zones, double rampPhase) {
        this.rampPhase = rampPhase;
        configure(zones);
        settings(settings);
    }

    /** What is known of the classes that were there before stays. */
    @Override
    public void settings(Router.Settings settings) {
        routing = settings;
        int known = workByClass.length;
        workByClass = Arrays.copyOf(workByClass, settings.classes().size());
        reserveByClass = Arrays.copyOf(reserveByClass, workByClass.length);
        for (int c = known; c < workByClass.length; c++) {
            workByClass[c] = settings.classes().get(c).latencyObjectiveUs() / 5.0;
        }
        meanWorkUs = Arrays.stream(workByClass).min().orElse(1);
        rankClasses();
    }

    /** Goes over to other tiers; what is known of areas stays, and the budgets begin empty. */
    public void configure(ZoneSettings settings) {
        zones = settings;
        budgets = new TokenBucket[zones.tiers().size() + 1];
        costFactors = new double[budgets.length];
        sentByTier = new long[budgets.length];
        deniedByTier = new long[budgets.length];
        for (int t = 0; t < budgets.length; t++) {
            budgets[t] = new TokenBucket();
            costFactors[t] = Math.pow(COST_PER_TIER, t);
        }
        nearestTiers.values().forEach(g -> g.tier = Integer.MAX_VALUE);
        for (ZoneReplicas replicas : replicaSets.values()) {
            replicas.tier = zones.tierOf(replicas.zone.zone);
            replicas.nearestTier.tier = Math.min(replicas.nearestTier.tier, replicas.tier);
        }
        lostRate = 0;
        for (ZoneReplicas replicas : replicaSets.values()) {
            lostRate += replicas.isNearest() && replicas.health != ZoneReplicas.Health.UP ? replicas.usualRate(0) : 0;
        }
    }

    // ---- Seats. ----

    @Override
    public int memberHandle(int group, int zone) {
        ZoneReplicas replicas = replicaSets.computeIfAbsent((long) group << 32 | zone, k -> {
            ZoneReplicas made = new ZoneReplicas(
                    nearestTiers.computeIfAbsent(group, g -> new ZoneReplicas.NearestTier()),
                    zoneDetectors.computeIfAbsent(zone, ZoneReplicas.ZoneFailureDetector::new),
                    zones.tierOf(zone));
            made.zone.replicaSets.add(made);
            return made;
        });
        replicas.members++;
        replicas.nearestTier.tier = Math.min(replicas.nearestTier.tier, replicas.tier);
        Integer handle = freeHandles.poll();
        if (handle == null) {
            handle = replicasByHandle.size();
            replicasByHandle.add(replicas);
            rampByHandle.add(new TokenBucket());
        } else {
            replicasByHandle.set(handle, replicas);
            rampByHandle.set(handle, new TokenBucket());
        }
        return handle;
    }

    @Override
    public void left(int handle) {
        replicasByHandle.get(handle).members--;
        freeHandles.add(handle);
    }

    // ---- Events. ----

    @Override
    public void ended(long nowUs, int handle, Router.Outcome outcome, double workUs) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        switch (outcome) {
            case OK -> {
                replicas.recordSuccess(nowUs);
                replicas.recordServed(nowUs, workUs);
                if (replicas.isNearest() && replicas.health == ZoneReplicas.Health.UP) {
                    nearestServed.add(nowUs, workUs);
                    nearestHasServed = true;
                }
            }
            case WRONG_ROLE_OR_STALE, REJECTED, ERROR -> replicas.recordSuccess(nowUs);
            case TIMEOUT, RESET, CONNECT_FAILED -> recordFailure(nowUs, replicas);
            default -> {}
        }
    }

    @Override
    public void probed(long nowUs, int handle, boolean ok) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        if (!ok) {
            recordFailure(nowUs, replicas);
        } else if (replicas.recordHealthy(nowUs)) {
            returns++;
            if (replicas.health == ZoneReplicas.Health.UP) {
                recordRecovery(nowUs, replicas);
                return;
            }
            for (int s = 0; s < replicasByHandle.size(); s++) {
                if (replicasByHandle.get(s) == replicas) {
                    // Poolers that see the return in the same moment must not send in the same moment.
                    rampByHandle.get(s).reset(nowUs, -rampPhase * meanWorkUs);
                }
            }
        }
    }

    private void recordFailure(long nowUs, ZoneReplicas replicas) {
        if (replicas.recordFailure(nowUs)) {
            lose(nowUs, replicas);
        }
        if (replicas.zone.hasFailed()) {
            for (ZoneReplicas other : replicas.zone.replicaSets) {
                if (other.isOpen()) {
                    lose(nowUs, other);
                }
            }
        }
    }

    private void lose(long nowUs, ZoneReplicas replicas) {
        boolean wasServing = replicas.isNearest() && replicas.health == ZoneReplicas.Health.UP;
        losses++;
        replicas.lose(nowUs);
        if (wasServing) {
            nearestServed.shift(nowUs, -replicas.usualRate(nowUs));
            lostRate += replicas.usualRate(nowUs);
        }
    }

    private void recordRecovery(long nowUs, ZoneReplicas replicas) {
        if (replicas.isNearest()) {
            lostRate = Math.max(0, lostRate - replicas.servedBeforeLoss());
            nearestServed.shift(nowUs, replicas.servedBeforeLoss());
        }
    }

    @Override
    public void sent(long nowUs, int handle, int classIndex, double workUs) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        sentByTier[replicas.tier]++;
        workByClass[classIndex] += WORK_SMOOTHING * (workUs - workByClass[classIndex]);
        meanWorkUs += WORK_SMOOTHING * (workUs - meanWorkUs);
        if (--untilRanking <= 0) {
            untilRanking = REQUESTS_BETWEEN_RANKINGS;
            rankClasses();
        }
        if (replicas.health == ZoneReplicas.Health.RETURNING) {
            rampByHandle.get(handle).take(workUs);
        }
        if (!replicas.isNearest()) {
            budgets[replicas.tier].take(workUs);
        }
    }

    /** What is worth least for its work stands at the top of the reserves. */
    private void rankClasses() {
        for (int c = 0; c < workByClass.length; c++) {
            int better = 0;
            for (int o = 0; o < workByClass.length; o++) {
                better += weightPerWork(o) > weightPerWork(c) ? 1 : 0;
            }
            reserveByClass[c] = MAX_RESERVE * better / Math.max(1, workByClass.length - 1);
        }
    }

    private double weightPerWork(int classIndex) {
        return routing.classes().get(classIndex).priorityWeight() / workByClass[classIndex];
    }

    // ---- Answers. ----

    @Override
    public double costFactor(long nowUs, int handle) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        return replicas.isOpen() ? costFactors[replicas.tier] : Double.POSITIVE_INFINITY;
    }

    @Override
    public boolean admits(long nowUs, int handle, int classIndex) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        if (!replicas.isOpen() || replicas.health == ZoneReplicas.Health.RETURNING && !admits(nowUs, handle, replicas)) {
            return false;
        }
        if (replicas.isNearest() || !nearestHasServed) {
            return true;
        }
        double ratePerUs = zones.tiers().get(replicas.tier - 1).spill() * (nearestServed.at(nowUs) + lostRate);
        double capacityUs = Math.max(ratePerUs * BUDGET_CAPACITY_US, meanWorkUs);
        boolean admitted = budgets[replicas.tier].fill(nowUs, ratePerUs, capacityUs) > reserveByClass[classIndex] * capacityUs;
        deniedByTier[replicas.tier] += admitted ? 0 : 1;
        return admitted;
    }

    /** Whether a returning area may be sent one more, at its present share of what it served before. */
    private boolean admits(long nowUs, int handle, ZoneReplicas replicas) {
        double rampShare = replicas.rampShare(nowUs, routing.rules().coldFrom(), routing.rules().warmAfterUs());
        if (rampShare >= 1) {
            recordRecovery(nowUs, replicas);
            replicas.health = ZoneReplicas.Health.UP;
            return true;
        }
        // One that served this pooler nothing may still be sent a little: a core's work, shared by all
        // poolers.
        double ratePerUs = RAMP_HEADROOM * rampShare * Math.max(replicas.usualRate(nowUs) / replicas.members, 1.0 / zones.poolers());
        return rampByHandle.get(handle).fill(nowUs, ratePerUs, Math.max(ratePerUs * routing.rules().fallUs() / 2, meanWorkUs)) > 0;
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return replicasByHandle.get(handle).healthCheckDue(nowUs);
    }

    /** The overview: areas by zone and health, reads sent and turned down by tier, losses and returns. */
    @Override
    public String toString() {
        Map<Integer, Map<ZoneReplicas.Health, Integer>> healths = new TreeMap<>();
        for (ZoneReplicas replicas : replicaSets.values()) {
            if (replicas.members > 0) {
                healths.computeIfAbsent(replicas.zone.zone, z -> new EnumMap<>(ZoneReplicas.Health.class))
                        .merge(replicas.health, 1, Integer::sum);
            }
        }
        return "areas=" + healths + " sent_by_tier=" + Arrays.toString(sentByTier) + " denied_by_tier="
                + Arrays.toString(deniedByTier) + " losses=" + losses + " returns=" + returns;
    }
}
