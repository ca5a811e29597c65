package frostreel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Slow start: how much work a member that started a short while ago may be sent. Each router sends its share of
 * the least that such a member can do, so that all routers together do not overload it. Pure: times are handed in,
 * and random choices follow from the seed of the settings.
 *
 * <p>Work is measured in microseconds of {@link ServiceTimes}.
 */
final class SlowStart {
    /** The utilization of a member that has not reported one since it started. */
    static final double NO_REPORT = -1;

    /** The share of the work that overloads a member, with a full budget spent at once. */
    private static final double MAX_OVERLOAD_SHARE = 0.6;
    /** How much of the overload rule's time span a budget may hold. */
    private static final double BUDGET_SPAN_SHARE = 0.5;
    /** A member with this share of its capacity in use is busy enough. */
    private static final double TARGET_UTILIZATION = 0.9;
    /** A lower utilization than this says nothing about a capacity. */
    private static final double MIN_UTILIZATION = 0.05;

    private static final long NOTHING_LISTED = Long.MIN_VALUE;

    /** What is known of a member from the endpoint list and from answers; made by {@link #register}. */
    static final class Member {
        private final DecayingRate servedWork;
        private int machineKind;
        private double weight = 1;
        private boolean usable = true;
        private long startedUs = Router.Member.LONG_AGO;
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

        /** When it started, by the endpoint list. */
        long startedUs() {
            return startedUs;
        }

        private boolean hasReported() {
            return utilization != NO_REPORT;
        }
    }

    private final SplittableRandom random;
    private final ServiceTimes serviceTimes;
    private final List<Member> members = new ArrayList<>();
    private Router.Settings settings;
    /** When the first member was listed: what was served before is not known to this router. */
    private long firstListedAtUs = NOTHING_LISTED;

    SlowStart(Router.Settings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed()).split();
        serviceTimes = new ServiceTimes(settings);
    }

    /** New settings are in force; classes that are already known keep what was learned of them. */
    void onSettings(Router.Settings newSettings) {
        settings = newSettings;
        serviceTimes.onSettings(newSettings);
    }

    /** Starts to track a member that is newly listed. */
    Member register(long nowUs) {
        if (firstListedAtUs == NOTHING_LISTED) {
            firstListedAtUs = nowUs;
        }
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
     * @return whether the member has restarted since the last entry
     */
    boolean recordListEntry(long nowUs, Member member, Router.Member entry) {
        member.machineKind = entry.kind();
        member.weight = entry.weight();
        if (member.startedUs == entry.startedUs()) {
            return false;
        }
        member.startedUs = entry.startedUs();
        recordRestart(nowUs, member);
        return true;
    }

    private void recordRestart(long nowUs, Member member) {
        member.utilization = NO_REPORT;
        member.servedWork.scale(warmth(nowUs, member)); // It can do as little as it is warm now.
        member.budgetUs = 0;
        member.budgetUpdatedUs = nowUs;
        member.sendThreshold = random.nextDouble();
    }

    /** Says whether anything may be sent to a member at all. */
    void setUsable(Member member, boolean isUsable) {
        member.usable = isUsable;
    }

    /** Takes the used share of a member's present capacity from a report; NaN where the report holds none. */
    void recordUtilization(Member member, double utilization) {
        if (utilization >= 0) {
            member.utilization = Math.max(utilization, MIN_UTILIZATION);
        }
    }

    /** The used share of a member's capacity by its last report since it started, or {@link #NO_REPORT}. */
    double utilization(Member member) {
        return member.utilization;
    }

    /** Learns from an answer that served a request of this class in {@code tookUs}. */
    void recordResponse(long nowUs, Member member, int classIndex, long tookUs) {
        serviceTimes.recordResponse(classIndex, tookUs);
        member.servedWork.add(nowUs, serviceTimes.serviceTimeUs(classIndex));
    }

    /** Takes a request of this class, which is sent to the member, off its budget. */
    void recordSend(Member member, int classIndex) {
        member.budgetUs -= serviceTimes.serviceTimeUs(classIndex);
    }

    /**
     * Whether a member may be sent a request of this class now. A warm member always may; any other as far as its
     * budget reaches. Each of hundreds of routers may have a budget below one request, so each draws the part of a
     * request that it waits for before its first one.
     */
    boolean admits(long nowUs, Member member, int classIndex) {
        double warmth = warmth(nowUs, member);
        if (warmth >= 1) {
            return true;
        }
        double requestUs = serviceTimes.serviceTimeUs(classIndex);
        refillBudget(nowUs, member, workPerUs(nowUs, member, warmth), requestUs);
        return member.budgetUs > member.sendThreshold * requestUs;
    }

    /** A full budget and what is added while it is spent stay below what overloads the member. */
    private void refillBudget(long nowUs, Member member, double workPerUs, double requestUs) {
        double capacityUs = Math.max(workPerUs * settings.rules().fallUs() * BUDGET_SPAN_SHARE, requestUs);
        member.budgetUs = Math.min(capacityUs, member.budgetUs + workPerUs * (nowUs - member.budgetUpdatedUs));
        member.budgetUpdatedUs = nowUs;
    }

    /** This router's share of what a member can do by now: at the least its part of one core. */
    private double workPerUs(long nowUs, Member member, double warmth) {
        double shareOfOneCore = settings.instances() > 0 ? warmth / settings.instances() : 0;
        double shareOfCapacity =
                warmShare(nowUs, member.machineKind) * warmth * member.weight * spareCapacityFactor(member);
        return Math.max(shareOfCapacity, shareOfOneCore);
    }

    /**
     * How much more a member may be sent than its share of the others' work: more where it reports free capacity,
     * or where there are no reports, since what the others served is then the least that they can do.
     */
    private double spareCapacityFactor(Member member) {
        double maxFactor = Math.max(1, MAX_OVERLOAD_SHARE * settings.rules().fallMultiple());
        if (!member.hasReported()) {
            return maxFactor;
        }
        return Math.max(1, Math.min(TARGET_UTILIZATION / member.utilization, maxFactor));
    }

    /**
     * This router's share of what a warm member of that kind can do, in cores: the work that it had served there,
     * over the used part of all capacity as the members report it. Unlike the share of the served load, that
     * holds where no member is warm, and where this router has only begun. Without any reports it is the share of
     * the served load; a member without a report counts with the mean utilization of the others.
     */
    private double warmShare(long nowUs, int machineKind) {
        double servedWork = 0;
        double usedCapacity = 0;
        double reportedCapacity = 0;
        double allCapacity = 0;
        for (Member member : members) {
            if (member.machineKind != machineKind || !member.usable) {
                continue;
            }
            double capacity = warmth(nowUs, member) * member.weight;
            servedWork += member.servedWork.at(nowUs);
            allCapacity += capacity;
            if (member.hasReported()) {
                usedCapacity += member.utilization * capacity;
                reportedCapacity += capacity;
            }
        }
        double capacityInUse = reportedCapacity > 0 ? usedCapacity * allCapacity / reportedCapacity : allCapacity;
        return servedWork / observedShare(nowUs) / capacityInUse;
    }

    /** How much of what is served this router has seen by now, as its rates begin at 0. */
    private double observedShare(long nowUs) {
        return -Math.expm1((firstListedAtUs - nowUs - 1) / (double) timeConstantUs());
    }

    private double warmth(long nowUs, Member member) {
        return settings.rules().warmth(nowUs, member.startedUs);
    }

    /** Twice the time span of the rule on overloading members. */
    private long timeConstantUs() {
        return 2 * settings.rules().fallUs();
    }
}
