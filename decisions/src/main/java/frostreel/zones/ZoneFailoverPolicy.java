package frostreel.zones;

import frostreel.routing.DecayingRate;
import frostreel.routing.LocalityPolicy;
import frostreel.routing.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Prefers nearer tiers of zones, bounds what spills over to farther ones when nearer replicas fail, and ramps
 * up replicas that recover.
 *
 * <p>The replicas of a group in a zone go down after consecutive failures, sooner where much of their zone
 * fails too. They get no requests then but health checks. What the nearest tier no longer serves may go to
 * farther ones as far as their budgets reach, classes with the highest priority weight for their work first;
 * the rest is not admitted. Replicas that answer again are ramped up over the time in which a restarted
 * server warms up, each pooler sending its part of what they served before, beginning at a moment that
 * differs among poolers. Replicas that fail again and again must pass health checks for a while first. Writes
 * are not affected.
 */
public final class ZoneFailoverPolicy implements LocalityPolicy {
    /**
     * Recovering replicas get so many times their share of what they served: they have the capacity for that.
     */
    private static final double RAMP_HEADROOM = 1.5;

    private final double rampPhase;
    private final Map<Long, ZoneReplicas> replicaSets = new HashMap<>();
    private final Map<Integer, ZoneReplicas.NearestTier> nearestTiers = new HashMap<>();
    private final Map<Integer, ZoneFailureDetector> zoneDetectors = new HashMap<>();
    private final List<ZoneReplicas> replicasByHandle = new ArrayList<>();
    private final List<TokenBucket> rampByHandle = new ArrayList<>();
    private final ArrayDeque<Integer> freeHandles = new ArrayDeque<>();
    private final ClassRanking ranking = new ClassRanking();
    /** What the replicas of nearest tiers serve that are up. */
    private final DecayingRate nearestServed = new DecayingRate(() -> ZoneReplicas.SERVED_SPAN_US);

    private Router.Rules rules;
    private ZoneSettings zones;
    private SpillBudgets budgets;
    /** What the replicas of nearest tiers served that are not up. */
    private double missingRate;

    private boolean nearestHasServed;
    private long outages;
    private long recoveries;

    /**
     * {@code rampPhase}: at least 0 and under 1, drawn for each pooler, so that ramps do not begin in the
     * same moment.
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

    /** Takes other tiers: what is known of replicas stays, and the budgets begin empty. */
    public void configure(ZoneSettings settings) {
        zones = settings;
        budgets = new SpillBudgets(settings);
        nearestTiers.values().forEach(ZoneReplicas.NearestTier::reset);
        for (ZoneReplicas replicas : replicaSets.values()) {
            replicas.assignTier(zones.tierOf(replicas.zone()));
        }
        missingRate = 0;
        for (ZoneReplicas replicas : replicaSets.values()) {
            missingRate += replicas.isNearest() && !replicas.isUp() ? replicas.servedBeforeOutage() : 0;
        }
    }

    @Override
    public int onMemberAdded(int group, int zone) {
        ZoneReplicas replicas =
                replicaSets.computeIfAbsent((long) group << Integer.SIZE | zone, key -> newReplicas(group, zone));
        replicas.addMember();
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

    private ZoneReplicas newReplicas(int group, int zone) {
        return new ZoneReplicas(
                nearestTiers.computeIfAbsent(group, key -> new ZoneReplicas.NearestTier()),
                zoneDetectors.computeIfAbsent(zone, ZoneFailureDetector::new),
                zones.tierOf(zone));
    }

    @Override
    public void onMemberRemoved(int handle) {
        replicasByHandle.get(handle).removeMember();
        freeHandles.add(handle);
    }

    @Override
    public void onAttemptEnded(long nowUs, int handle, Router.Outcome outcome, double workUs) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        switch (outcome) {
            case OK -> {
                replicas.recordSuccess(nowUs);
                replicas.recordServed(nowUs, workUs);
                if (replicas.isNearest() && replicas.isUp()) {
                    nearestServed.add(nowUs, workUs);
                    nearestHasServed = true;
                }
            }
            case WRONG_ROLE_OR_STALE, REJECTED, ERROR -> replicas.recordSuccess(nowUs); // It answers.
            case TIMEOUT, RESET, CONNECT_FAILED -> recordFailure(nowUs, replicas);
            default -> {}
        }
    }

    @Override
    public void onHealthCheck(long nowUs, int handle, boolean ok) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        if (!ok) {
            recordFailure(nowUs, replicas);
        } else if (replicas.recordHealthy(nowUs)) {
            recoveries++;
            if (replicas.isUp()) {
                recordRecovery(nowUs, replicas);
            } else {
                beginRamp(nowUs, replicas);
            }
        }
    }

    /** Poolers that see the recovery in the same moment must not all send in the same moment. */
    private void beginRamp(long nowUs, ZoneReplicas replicas) {
        for (int handle = 0; handle < replicasByHandle.size(); handle++) {
            if (replicasByHandle.get(handle) == replicas) {
                rampByHandle.get(handle).reset(nowUs, -rampPhase * ranking.meanWorkUs());
            }
        }
    }

    private void recordFailure(long nowUs, ZoneReplicas replicas) {
        if (replicas.recordFailure(nowUs)) {
            markDown(nowUs, replicas);
        }
        if (replicas.zoneDetector().hasFailed()) {
            for (ZoneReplicas other : replicas.zoneDetector().replicaSets()) {
                if (other.isOpen()) {
                    markDown(nowUs, other);
                }
            }
        }
    }

    private void markDown(long nowUs, ZoneReplicas replicas) {
        boolean servedNearest = replicas.isNearest() && replicas.isUp();
        outages++;
        replicas.markDown(nowUs);
        if (servedNearest) {
            nearestServed.shift(nowUs, -replicas.servedBeforeOutage());
            missingRate += replicas.servedBeforeOutage();
        }
    }

    private void recordRecovery(long nowUs, ZoneReplicas replicas) {
        if (replicas.isNearest()) {
            missingRate = Math.max(0, missingRate - replicas.servedBeforeOutage());
            nearestServed.shift(nowUs, replicas.servedBeforeOutage());
        }
    }

    @Override
    public void onAttemptSent(long nowUs, int handle, int classIndex, double workUs) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        budgets.countSent(replicas.tier());
        ranking.recordSent(classIndex, workUs);
        if (replicas.isRecovering()) {
            rampByHandle.get(handle).take(workUs);
        }
        if (!replicas.isNearest()) {
            budgets.spend(replicas.tier(), workUs);
        }
    }

    @Override
    public double costFactor(long nowUs, int handle) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        return replicas.isOpen() ? budgets.costFactor(replicas.tier()) : EXCLUDED;
    }

    @Override
    public boolean admits(long nowUs, int handle, int classIndex) {
        ZoneReplicas replicas = replicasByHandle.get(handle);
        if (!replicas.isOpen() || (replicas.isRecovering() && !rampAdmits(nowUs, handle, replicas))) {
            return false;
        }
        if (replicas.isNearest() || !nearestHasServed) {
            return true;
        }
        double nearestRate = nearestServed.at(nowUs) + missingRate;
        return budgets.admits(nowUs, replicas.tier(), nearestRate, ranking.meanWorkUs(), ranking.reserve(classIndex));
    }

    private boolean rampAdmits(long nowUs, int handle, ZoneReplicas replicas) {
        double share = replicas.rampShare(nowUs, rules.coldFrom(), rules.warmAfterUs());
        if (share >= 1) {
            recordRecovery(nowUs, replicas);
            replicas.completeRecovery();
            return true;
        }
        // Replicas that served this pooler nothing still get a little: one core's work, divided among all poolers.
        double fullRate = Math.max(replicas.usualRate(nowUs) / replicas.members(), 1.0 / zones.poolers());
        double rate = RAMP_HEADROOM * share * fullRate;
        double capacityUs = Math.max(rate * rules.fallUs() / 2, ranking.meanWorkUs());
        return rampByHandle.get(handle).fill(nowUs, rate, capacityUs) > 0;
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return replicasByHandle.get(handle).healthCheckDue(nowUs);
    }

    /**
     * The page {@code SHOW zones}: replicas by zone and health, reads sent and denied by tier, outages and
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
