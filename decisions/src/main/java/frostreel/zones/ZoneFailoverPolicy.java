package frostreel.zones;

import frostreel.routing.LocalityPolicy;
import frostreel.routing.Router;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Locality policy that fails reads over between zones: it prefers nearer tiers of zones, limits the load that spills
 * over to farther tiers when nearer replicas fail, and ramps up replicas that recover. The routing of writes is not
 * affected.
 *
 * <ul>
 *   <li>Failure: the replicas of a group in a zone are marked down after consecutive failures, and earlier if other
 *       replicas in the zone fail, too. They then get health checks only.
 *   <li>Spill: load that the nearest tier no longer serves may go to farther tiers within their budgets, request
 *       classes with the highest priority weight per unit of work first. Other requests are not admitted.
 *   <li>Recovery: replicas that respond again are ramped up over the time in which a restarted server warms up. Each
 *       pooler sends its share of the load that they served before, and poolers start at different times. Replicas
 *       that fail repeatedly must first pass health checks for some time.
 * </ul>
 */
public final class ZoneFailoverPolicy implements LocalityPolicy {
    /** Recovering replicas get this multiple of their share of the earlier load; they have the capacity for it. */
    private static final double RAMP_HEADROOM = 1.5;
    /** The capacity of a ramp budget is its gain in the overload window divided by this, but at least one request. */
    private static final int RAMP_SPAN_DIVISOR = 2;
    /**
     * Lower bound on the load of a warm member, for all poolers together: one core. Applies to replicas that served
     * little or nothing for this pooler.
     */
    private static final double ONE_CORE = 1.0;

    private final double rampPhase;
    private final Map<Long, ZoneReplicas> replicaSets = new HashMap<>();
    private final Map<Integer, NearestTier> nearestTiers = new HashMap<>();
    private final Map<Integer, ZoneFailureDetector> zoneDetectors = new HashMap<>();
    private final MemberHandles members = new MemberHandles();
    private final ClassRanking ranking = new ClassRanking();
    private final NearestTierLoad nearestLoad = new NearestTierLoad();

    private Router.Rules rules;
    private ZoneSettings zones;
    private SpillBudgets budgets;
    private long outages;
    private long recoveries;

    /**
     * Creates a policy with these tiers.
     *
     * @param rampPhase random number for this pooler, at least 0 and less than 1, so that poolers do not start their
     *     ramps at the same time
     */
    public ZoneFailoverPolicy(Router.Settings settings, ZoneSettings zones, double rampPhase) {
        this.rampPhase = rampPhase;
        configure(zones);
        onSettings(settings);
    }

    @Override
    public void onSettings(Router.Settings settings) {
        rules = settings.rules();
        ranking.configure(settings.classes());
    }

    /** Replaces the tiers. The state of replicas is kept; the budgets start empty. */
    public void configure(ZoneSettings settings) {
        zones = settings;
        budgets = new SpillBudgets(settings);
        nearestTiers.values().forEach(NearestTier::reset);
        for (ZoneReplicas replicas : replicaSets.values()) {
            replicas.assignTier(zones.tierOf(replicas.zone()));
        }
        nearestLoad.resetMissing();
        for (ZoneReplicas replicas : replicaSets.values()) {
            if (replicas.isNearest() && !replicas.isUp()) {
                nearestLoad.addMissing(replicas.rateBeforeOutage());
            }
        }
    }

    @Override
    public int onMemberAdded(int group, int zone) {
        ZoneReplicas replicas = replicaSets.computeIfAbsent(key(group, zone), key -> newReplicas(group, zone));
        replicas.addMember();
        return members.add(replicas);
    }

    private static long key(int group, int zone) {
        return (long) group << Integer.SIZE | zone;
    }

    private ZoneReplicas newReplicas(int group, int zone) {
        return new ZoneReplicas(
                nearestTiers.computeIfAbsent(group, key -> new NearestTier()),
                zoneDetectors.computeIfAbsent(zone, ZoneFailureDetector::new),
                zones.tierOf(zone));
    }

    @Override
    public void onMemberRemoved(int handle) {
        members.replicas(handle).removeMember();
        members.release(handle);
    }

    @Override
    public void onAttemptSent(long nowUs, int handle, int classIndex, double workUs) {
        ZoneReplicas replicas = members.replicas(handle);
        budgets.countSent(replicas.tier());
        ranking.recordSent(classIndex, workUs);
        if (replicas.isRecovering()) {
            members.ramp(handle).take(workUs);
        }
        if (!replicas.isNearest()) {
            budgets.spend(replicas.tier(), workUs);
        }
    }

    @Override
    public void onAttemptEnded(long nowUs, int handle, Router.Outcome outcome, double workUs) {
        ZoneReplicas replicas = members.replicas(handle);
        switch (outcome) {
            case OK -> recordServed(nowUs, replicas, workUs);
            case WRONG_ROLE_OR_STALE, REJECTED, ERROR -> replicas.recordSuccess(nowUs); // The member responds.
            case TIMEOUT, RESET, CONNECT_FAILED -> recordFailure(nowUs, replicas);
            case CANCELLED, NOT_SENT -> {} // Says nothing about the health of the replicas.
        }
    }

    private void recordServed(long nowUs, ZoneReplicas replicas, double workUs) {
        replicas.recordSuccess(nowUs);
        replicas.recordServed(nowUs, workUs);
        if (replicas.isNearest() && replicas.isUp()) {
            nearestLoad.recordServed(nowUs, workUs);
        }
    }

    @Override
    public void onHealthCheck(long nowUs, int handle, boolean ok) {
        ZoneReplicas replicas = members.replicas(handle);
        if (!ok) {
            recordFailure(nowUs, replicas);
        } else if (replicas.recordHealthy(nowUs)) {
            resumeRouting(nowUs, replicas);
        }
    }

    /**
     * Resumes routing to replicas that passed their health checks: at full load if they went down only with their
     * zone, otherwise with a ramp.
     */
    private void resumeRouting(long nowUs, ZoneReplicas replicas) {
        recoveries++;
        if (replicas.isUp()) {
            recordRecoveredLoad(nowUs, replicas);
        } else {
            // Delays the first requests by a time that differs between poolers that detect the recovery simultaneously.
            members.resetRamps(nowUs, replicas, -rampPhase * ranking.meanWorkUs());
        }
    }

    private void recordFailure(long nowUs, ZoneReplicas replicas) {
        if (replicas.recordFailure(nowUs)) {
            markDown(nowUs, replicas);
        }
        if (replicas.zoneDetector().hasFailed()) {
            markZoneDown(nowUs, replicas.zoneDetector());
        }
    }

    private void markZoneDown(long nowUs, ZoneFailureDetector zone) {
        for (ZoneReplicas replicas : zone.replicaSets()) {
            if (replicas.isRoutable()) {
                markDown(nowUs, replicas);
            }
        }
    }

    private void markDown(long nowUs, ZoneReplicas replicas) {
        boolean wasServingNearestTier = replicas.isNearest() && replicas.isUp();
        outages++;
        replicas.markDown(nowUs);
        if (wasServingNearestTier) {
            nearestLoad.recordOutage(nowUs, replicas.rateBeforeOutage());
        }
    }

    private void recordRecoveredLoad(long nowUs, ZoneReplicas replicas) {
        if (replicas.isNearest()) {
            nearestLoad.recordRecovery(nowUs, replicas.rateBeforeOutage());
        }
    }

    @Override
    public double costFactor(long nowUs, int handle) {
        ZoneReplicas replicas = members.replicas(handle);
        return replicas.isRoutable() ? budgets.costFactor(replicas.tier()) : EXCLUDED;
    }

    @Override
    public boolean admits(long nowUs, int handle, int classIndex) {
        ZoneReplicas replicas = members.replicas(handle);
        return replicas.isRoutable() && rampAdmits(nowUs, handle, replicas) && tierAdmits(nowUs, replicas, classIndex);
    }

    private boolean rampAdmits(long nowUs, int handle, ZoneReplicas replicas) {
        if (!replicas.isRecovering()) {
            return true;
        }
        double share = replicas.rampShare(nowUs, rules.initialCapacityShare(), rules.warmUpUs());
        if (share >= 1) {
            recordRecoveredLoad(nowUs, replicas);
            replicas.completeRecovery();
            return true;
        }
        double rate = RAMP_HEADROOM * share * fullRate(nowUs, replicas);
        double capacityUs = Math.max(rate * rules.overloadWindowUs() / RAMP_SPAN_DIVISOR, ranking.meanWorkUs());
        return members.ramp(handle).fill(nowUs, rate, capacityUs) > 0;
    }

    /** Load of this pooler that one warm member can serve. */
    private double fullRate(long nowUs, ZoneReplicas replicas) {
        return Math.max(replicas.usualRate(nowUs) / replicas.members(), ONE_CORE / zones.poolers());
    }

    /** Never limits the nearest tier, nor any tier until the load of the nearest tier is known. */
    private boolean tierAdmits(long nowUs, ZoneReplicas replicas, int classIndex) {
        if (replicas.isNearest() || !nearestLoad.everServed()) {
            return true;
        }
        double nearestRate = nearestLoad.usualRate(nowUs);
        return budgets.admits(
                nowUs, replicas.tier(), nearestRate, ranking.meanWorkUs(), ranking.reservedShare(classIndex));
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return members.replicas(handle).healthCheckDue(nowUs);
    }

    /**
     * Status for {@code SHOW zones}: replicas by zone and health, reads sent and denied by tier, outages and
     * recoveries.
     */
    @Override
    public String toString() {
        Map<Integer, Map<ZoneReplicas.Health, Integer>> healthByZone = new TreeMap<>();
        for (ZoneReplicas replicas : replicaSets.values()) {
            if (replicas.members() > 0) {
                healthByZone
                        .computeIfAbsent(replicas.zone(), zone -> new EnumMap<>(ZoneReplicas.Health.class))
                        .merge(replicas.health(), 1, Integer::sum);
            }
        }
        return "replicas=" + healthByZone + " " + budgets + " outages=" + outages + " recoveries=" + recoveries;
    }
}
