package frostreel.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Slow start: how much work a member that started a short while ago may be sent. Each router sends its share of
 * the least that such a member can do, so that all routers together do not overload it. Pure: times are handed in,
 * and random choices follow from the seed of the settings.
 *
 * <p>Work is measured by the time in which the requests of a class are answered when nothing is queued. Mean times
 * would include queueing, and under overload made a short query seem as expensive as a long one.
 */
final class SlowStart {
    private static final double NO_REPORT = -1;
    private static final long NOT_BEGUN = Long.MIN_VALUE;

    /** What the endpoint list and the answers tell of a member; owned by who got it from {@link #register}. */
    static final class Member {
        private final DecayingRate servedWork;
        private int machineKind;
        private double weight = 1;
        private boolean usable = true;
        private long startedUs;
        private long budgetUpdatedUs;
        /** Work that may be sent now, in microseconds. */
        private double budgetUs;
        /** The part of a request's work that the budget must hold before it is sent; drawn anew at each start. */
        private double sendThreshold;
        /** The used share of its present capacity by its last report, or {@link #NO_REPORT}. */
        private double utilization = NO_REPORT;

        private Member(DecayingRate servedWork) {
            this.servedWork = servedWork;
        }

        /** When it started, by the endpoint list; 0 for the distant past. */
        long startedUs() {
            return startedUs;
        }
    }

    /** The share of the work that overloads a member, with a full budget spent at once. */
    private static final double MAX_OVERLOAD_SHARE = 0.6;
    /** How much of the overload rule's time span a budget may hold. */
    private static final double BUDGET_SPAN_SHARE = 0.5;
    /** A member with this share of its capacity in use is busy enough. */
    private static final double FULL_UTILIZATION = 0.9;
    /** A lower utilization than this says nothing about a capacity. */
    private static final double MIN_UTILIZATION = 0.05;
    /** Weight of an answer that was quicker than the least time of its class so far. */
    private static final double QUICKER_WEIGHT = 0.2;
    /** Weight of an answer that was slower than the least time of its class so far. */
    private static final double SLOWER_WEIGHT = 0.001;
    /** A class that nothing is known of is expected to take its latency objective divided by this. */
    private static final double OBJECTIVE_TO_WORK = 5.0;

    private final SplittableRandom random;
    private final List<Member> members = new ArrayList<>();
    private Router.Settings settings;
    /** Per request class, the time of an answer when nothing is queued. */
    private double[] leastUs = {};
    /** Per request class, whether an answer was seen; {@link #leastUs} is an estimate until then. */
    private boolean[] answered = {};

    private long begunUs = NOT_BEGUN;

    SlowStart(Router.Settings settings) {
        random = new SplittableRandom(settings.seed()).split();
        onSettings(settings);
    }

    /** Takes new settings; classes that are already known keep what was learned of them. */
    void onSettings(Router.Settings newSettings) {
        settings = newSettings;
        int known = leastUs.length;
        leastUs = Arrays.copyOf(leastUs, newSettings.classes().size());
        answered = Arrays.copyOf(answered, leastUs.length);
        for (int i = known; i < leastUs.length; i++) {
            leastUs[i] = estimateUs(i);
        }
    }

    /** Starts to track a member that is newly listed. */
    Member register(long nowUs) {
        begunUs = begunUs == NOT_BEGUN ? nowUs : begunUs;
        Member member = new Member(new DecayingRate(this::timeConstantUs));
        member.budgetUpdatedUs = nowUs;
        members.add(member);
        return member;
    }

    /** Ends the tracking of a member. */
    void forget(Member member) {
        members.remove(member);
    }

    /**
     * Takes over what the endpoint list says of a member.
     *
     * @return whether the entry tells of another start than the last one
     */
    boolean recordListEntry(long nowUs, Member member, Router.Member entry) {
        member.machineKind = entry.kind();
        member.weight = entry.weight();
        boolean restarted = member.startedUs != entry.startedUs();
        if (restarted) {
            member.startedUs = entry.startedUs();
            member.utilization = NO_REPORT;
            member.servedWork.scale(warmth(nowUs, member)); // It can do as little as it is warm now.
            member.budgetUs = 0;
            member.budgetUpdatedUs = nowUs;
            member.sendThreshold = random.nextDouble();
        }
        return restarted;
    }

    /** Says whether anything may be sent to a member at all. */
    void setUsable(Member member, boolean isUsable) {
        member.usable = isUsable;
    }

    /** Takes the used share of a member's present capacity from a report; NaN where the report holds none. */
    void recordUtilization(Member member, double utilization) {
        member.utilization = utilization >= 0 ? Math.max(utilization, MIN_UTILIZATION) : member.utilization;
    }

    /** The used share of a member's capacity by its last report; below 0 where none came since it started. */
    double utilization(Member member) {
        return member.utilization;
    }

    /** Learns from an answer that served a request of this class in {@code tookUs}. */
    void recordAnswer(long nowUs, Member member, int classIndex, long tookUs) {
        double weight = weight(classIndex, tookUs);
        leastUs[classIndex] += weight * (tookUs - leastUs[classIndex]);
        answered[classIndex] = true;
        member.servedWork.add(nowUs, leastUs[classIndex]);
        estimateUnanswered();
    }

    private double weight(int classIndex, long tookUs) {
        if (!answered[classIndex]) {
            return 1;
        }
        return tookUs < leastUs[classIndex] ? QUICKER_WEIGHT : SLOWER_WEIGHT;
    }

    /** Expects classes without an answer to be off from their estimate as much as the others are from theirs. */
    private void estimateUnanswered() {
        double estimatedUs = 0;
        double measuredUs = 0;
        for (int i = 0; i < leastUs.length; i++) {
            estimatedUs += answered[i] ? estimateUs(i) : 0;
            measuredUs += answered[i] ? leastUs[i] : 0;
        }
        for (int i = 0; i < leastUs.length; i++) {
            leastUs[i] = answered[i] ? leastUs[i] : estimateUs(i) * measuredUs / estimatedUs;
        }
    }

    private double estimateUs(int classIndex) {
        return settings.classes().get(classIndex).latencyObjectiveUs() / OBJECTIVE_TO_WORK;
    }

    /** Takes a request of this class, which is sent to the member, off its budget. */
    void recordSend(Member member, int classIndex) {
        member.budgetUs -= leastUs[classIndex];
    }

    /**
     * Whether a member may be sent a request of this class now. A warm member always may. The budget of any other
     * grows with its warmth, and faster where it reports free capacity, or where there are no reports: what the
     * others served is then the least that they can do. A full budget and what is added meanwhile stay below what
     * overloads it. Each of hundreds of routers may have a budget below one request, so each draws the part of a
     * request that it waits for before its first one.
     */
    boolean admits(long nowUs, Member member, int classIndex) {
        double warmth = warmth(nowUs, member);
        if (warmth >= 1) {
            return true;
        }
        double maxFactor = Math.max(1, MAX_OVERLOAD_SHARE * settings.rules().fallMultiple());
        double factor = member.utilization > 0
                ? Math.max(1, Math.min(FULL_UTILIZATION / member.utilization, maxFactor))
                : maxFactor;
        double shareOfOneCore = settings.instances() > 0 ? warmth / settings.instances() : 0;
        double workPerUs = Math.max(share(nowUs, member.machineKind) * warmth * member.weight * factor, shareOfOneCore);
        member.budgetUs = Math.min(
                Math.max(workPerUs * settings.rules().fallUs() * BUDGET_SPAN_SHARE, leastUs[classIndex]),
                member.budgetUs + workPerUs * (nowUs - member.budgetUpdatedUs));
        member.budgetUpdatedUs = nowUs;
        return member.budgetUs > member.sendThreshold * leastUs[classIndex];
    }

    /**
     * This router's share of what a warm member of that kind can do, in cores: the work that it had served there,
     * over the used part of all capacity as the members report it. Unlike the share of the served load, that
     * holds where no member is warm, and where this router has only begun. Without any reports it is the share of
     * the served load; a member without a report counts with the mean utilization of the others.
     */
    private double share(long nowUs, int machineKind) {
        double servedWork = 0;
        double usedCapacity = 0;
        double reportedCapacity = 0;
        double allCapacity = 0;
        for (Member member : members) {
            if (member.machineKind == machineKind && member.usable) {
                double capacity = warmth(nowUs, member) * member.weight;
                servedWork += member.servedWork.at(nowUs);
                usedCapacity += member.utilization > 0 ? member.utilization * capacity : 0;
                reportedCapacity += member.utilization > 0 ? capacity : 0;
                allCapacity += capacity;
            }
        }
        double observedPart = -Math.expm1((begunUs - nowUs - 1) / (double) timeConstantUs());
        return servedWork
                / observedPart
                / (reportedCapacity > 0 ? usedCapacity * allCapacity / reportedCapacity : allCapacity);
    }

    private double warmth(long nowUs, Member member) {
        return settings.rules().warmth(nowUs, member.startedUs);
    }

    /** Twice the time span of the rule on overloading members. */
    private long timeConstantUs() {
        return 2 * settings.rules().fallUs();
    }
}
