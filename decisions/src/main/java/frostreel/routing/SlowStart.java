package frostreel.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Slow start: limits the attempts that are sent to a member that started recently, so that all routers together do not
 * overload it, however many they are. Deterministic: times are passed in, and random choices follow from the seed of
 * the settings.
 *
 * <p>Attempts are permitted by responses. With M the overload multiple and T the overload window:
 *
 * <ul>
 *   <li>If a warm member of the same machine kind is listed, each response of such a member permits 0.6 M attempts,
 *       times the least capacity share of the starting member, divided by the number of such members. All routers
 *       together receive from one member no more responses than its capacity, so this is at most 0.6 M times that of
 *       the starting one.
 *   <li>Where members report their utilization, that is 0.3 M, and each response of the starting member permits 0.3 M
 *       further attempts to it while it reports free capacity.
 *   <li>If no such member is listed, each response of the starting member permits 0.6 M further attempts to it. All
 *       routers together receive no more responses than its capacity.
 *   <li>Without any response, routers send an equal part each of the work of 0.1 M of one core, times the least
 *       capacity share, as no member has less than one core, and all together about two trials in T.
 * </ul>
 *
 * <p>Permissions expire after T/2 at the latest, so those of 3T/2 may be used within T: in sum 0.6 M * 3/2 + 0.1 M = M
 * times the capacity. The allowance of the rule for random arrivals is left to chance and to trials. No sum depends on
 * the number of processes, except for the part without responses, where a pooler that may be upgraded counts as two.
 */
final class SlowStart {
    /** Utilization of a member that has not reported any since it started. */
    static final double NO_REPORT = -1;
    /** Value of {@link #recordSend} for an attempt that slow start does not limit. */
    static final long UNLIMITED = Long.MAX_VALUE;

    /** Share of the overload multiple that each response permits in attempts. */
    private static final double RESPONSE_SHARE = 0.6;
    /** The same where the responses of two members permit attempts to one. */
    private static final double SHARED_RESPONSE_SHARE = 0.3;
    /** Reported utilization below which a member has free capacity. */
    private static final double TARGET_UTILIZATION = 0.7;
    /** Share of the overload multiple that is sent without any response, of one core's work. */
    private static final double UNCONDITIONAL_SHARE = 0.1;
    /** Latency objective, as a multiple of the shortest one, beyond which a request counts as long. */
    private static final double LONG_REQUEST_RATIO = 4;
    /** Permissions are valid in the interval in which they were earned, and in the next one. */
    private static final int INTERVALS_PER_WINDOW = 4;
    /** Number of processes of a pooler during an upgrade. */
    private static final int PROCESSES_IN_UPGRADE = 2;
    /** Number of poolers that is assumed if the settings do not state it. */
    private static final int MAX_POOLERS = 100;
    /** Lower reported utilizations are raised to this one. */
    private static final double MIN_UTILIZATION = 0.05;

    /** Slow start state of one member, from the endpoint list and from responses; created by {@link #register}. */
    static final class MemberBudget {
        private final AttemptCredits credits = new AttemptCredits();
        private final SlowStartLog.Events events = new SlowStartLog.Events();
        private final UnconditionalAttempts unconditional;

        private String id = "";
        private int machineKind;
        private double weight = 1;
        private boolean usable = true;
        private long startedUs = Router.Member.NO_START_TIME;
        /** When the endpoint list first reported the present start. */
        private long notifiedUs;
        /** Whether it was warming up when it was last asked for. */
        private boolean limited;
        /** When it was last asked for. */
        private long askedUs;

        /** Used share of the member's present capacity by its last report, or {@link #NO_REPORT}. */
        private double utilization = NO_REPORT;

        private MemberBudget(UnconditionalAttempts unconditional) {
            this.unconditional = unconditional;
        }

        /** Returns when the member started, according to the endpoint list. */
        long startedUs() {
            return startedUs;
        }
    }

    private final SplittableRandom random;
    private final int processesPerPooler;
    private final ResponseTimes responseTimes;
    private final ProvenTime provenTime = new ProvenTime();
    private final SlowStartLog log;
    private final List<MemberBudget> members = new ArrayList<>();
    private Router.Settings settings;

    /** The usable members that are warming up, as of {@link #classifiedUs}. */
    private final List<MemberBudget> startingMembers = new ArrayList<>();
    /** The number of usable warm members by machine kind, as of {@link #classifiedUs}. */
    private int[] warmMembers = {};

    /** Whether members of this deployment report their utilization. */
    private boolean utilizationReported;

    private long classifiedUs;
    private boolean membersChanged = true;

    /** Slow start of a process that may have a peer, and that logs nothing. */
    SlowStart(Router.Settings settings) {
        this(settings, true, line -> {});
    }

    /**
     * Slow start of one process.
     *
     * @param mayHavePeers whether the pooler may have a second process at the same time
     * @param logOutput takes lines on what is sent to starting members, see {@link SlowStartLog}
     */
    SlowStart(Router.Settings settings, boolean mayHavePeers, Consumer<String> logOutput) {
        this.settings = settings;
        processesPerPooler = mayHavePeers ? PROCESSES_IN_UPGRADE : 1;
        log = new SlowStartLog(logOutput);
        random = new SplittableRandom(settings.seed()).split();
        responseTimes = new ResponseTimes(settings);
    }

    /** Applies new settings; existing classes keep their response times. */
    void onSettings(Router.Settings newSettings) {
        settings = newSettings;
        responseTimes.onSettings(newSettings);
        membersChanged = true;
    }

    /** Starts tracking a newly listed member. */
    MemberBudget register(long nowUs) {
        MemberBudget member =
                new MemberBudget(new UnconditionalAttempts(random.nextDouble(), interval(nowUs), nowUs + intervalUs()));
        member.notifiedUs = nowUs;
        members.add(member);
        membersChanged = true;
        return member;
    }

    /** Stops tracking a member. */
    void forget(MemberBudget member) {
        members.remove(member);
        membersChanged = true;
    }

    /**
     * Applies an entry of the endpoint list to a member.
     *
     * @return whether the member has restarted since the last entry
     */
    boolean recordListEntry(long nowUs, MemberBudget member, Router.Member entry) {
        member.id = entry.id();
        member.machineKind = entry.kind();
        member.weight = entry.weight();
        membersChanged = true;
        if (member.startedUs == entry.startedUs()) {
            return false;
        }
        member.startedUs = entry.startedUs();
        recordRestart(nowUs, member);
        return true;
    }

    private void recordRestart(long nowUs, MemberBudget member) {
        member.notifiedUs = nowUs;
        member.utilization = NO_REPORT;
        member.credits.clear();
        member.unconditional.skipInterval(interval(nowUs));
        member.events.onStart(nowUs);
    }

    /** Sets whether requests may be sent to a member at all. */
    void setUsable(MemberBudget member, boolean isUsable) {
        membersChanged |= member.usable != isUsable;
        member.usable = isUsable;
    }

    /** Records the used share of a member's present capacity from a report; NaN if the report does not contain it. */
    void recordUtilization(MemberBudget member, double utilization) {
        if (utilization >= 0) {
            member.utilization = Math.max(utilization, MIN_UTILIZATION);
            utilizationReported = true;
        }
    }

    /** Returns the used share of a member's capacity by its last report since it started, or {@link #NO_REPORT}. */
    double utilization(MemberBudget member) {
        return member.utilization;
    }

    /** Records a position that some member has just reported, which shows how late it is. */
    void recordPosition(long nowUs, long positionUs) {
        provenTime.recordPosition(nowUs, positionUs);
    }

    /** Records a response to a request of this class that the member served in {@code tookUs}. */
    void recordResponse(long nowUs, MemberBudget member, int classIndex, long tookUs) {
        responseTimes.recordResponse(classIndex, tookUs);
        member.events.onResponse(tookUs);
        classifyMembers(nowUs);
        double multiple = settings.rules().overloadMultiple() * longRequestFactor(classIndex);
        if (capacityShare(nowUs, member) < 1) {
            earn(nowUs, member, classIndex, ownResponseShare(member) * multiple);
        } else if (member.usable) {
            double share = utilizationReported ? SHARED_RESPONSE_SHARE : RESPONSE_SHARE;
            earnAtStartingMembers(nowUs, member, classIndex, share * multiple);
        }
    }

    /** The share of the overload multiple that a response of a starting member permits in attempts to itself. */
    private double ownResponseShare(MemberBudget member) {
        if (warmMembers(member.machineKind) == 0) {
            return RESPONSE_SHARE;
        }
        boolean hasFreeCapacity = member.utilization != NO_REPORT && member.utilization < TARGET_UTILIZATION;
        return hasFreeCapacity ? SHARED_RESPONSE_SHARE : 0;
    }

    /**
     * Returns the factor by which the attempts of a class are reduced, since a few long requests that arrive together
     * by chance overload a member that their mean would not.
     */
    private double longRequestFactor(int classIndex) {
        List<Router.RequestClass> classes = settings.classes();
        long shortestObjectiveUs = Long.MAX_VALUE;
        for (int i = 0; i < classes.size(); i++) {
            long objectiveUs = classes.get(i).latencyObjectiveUs();
            shortestObjectiveUs = objectiveUs > 0 ? Math.min(shortestObjectiveUs, objectiveUs) : shortestObjectiveUs;
        }
        double longestObjectiveUs = LONG_REQUEST_RATIO * shortestObjectiveUs;
        return Math.min(
                1, longestObjectiveUs / Math.max(1, classes.get(classIndex).latencyObjectiveUs()));
    }

    private void earnAtStartingMembers(long nowUs, MemberBudget warmMember, int classIndex, double attempts) {
        int likeMembers = warmMembers(warmMember.machineKind);
        for (int i = 0; i < startingMembers.size(); i++) {
            MemberBudget member = startingMembers.get(i);
            if (member.machineKind == warmMember.machineKind) {
                double sizeRatio = Math.min(1, member.weight / warmMember.weight);
                earn(nowUs, member, classIndex, attempts * capacityShare(nowUs, member) * sizeRatio / likeMembers);
            }
        }
    }

    private void earn(long nowUs, MemberBudget member, int classIndex, double attempts) {
        int count = (int) (attempts + random.nextDouble()); // Rounded at random, so that the mean is exact.
        if (count > 0) {
            member.credits.advanceTo(interval(nowUs));
            member.credits.earn(classIndex, count);
        }
    }

    /**
     * Whether a request of this class may be sent to a member now: always to a warm member, to others as far as
     * responses permit it, or this router's unconditional part.
     */
    boolean admits(long nowUs, MemberBudget member, int classIndex) {
        double capacityShare = capacityShare(nowUs, member);
        member.limited = capacityShare < 1;
        member.askedUs = nowUs;
        if (!member.limited) {
            return true;
        }
        member.credits.advanceTo(interval(nowUs));
        drawUnconditional(nowUs, member, capacityShare);
        boolean admitted = member.credits.suffice(classIndex, settings.classes())
                || admitsUnconditionally(nowUs, member, classIndex);
        if (!admitted) {
            member.events.onRefused();
        }
        logIfDue(nowUs, member, capacityShare, classIndex);
        return admitted;
    }

    /** Draws this process's part of the work that is sent without a response in a new interval. */
    private void drawUnconditional(long nowUs, MemberBudget member, double capacityShare) {
        long interval = interval(nowUs);
        if (!member.unconditional.isDrawn(interval)) {
            double cores = UNCONDITIONAL_SHARE * settings.rules().overloadMultiple() * capacityShare;
            member.unconditional.draw(interval, cores * intervalUs() / processes(), random.nextDouble());
        }
    }

    private boolean admitsUnconditionally(long nowUs, MemberBudget member, int classIndex) {
        UnconditionalAttempts unconditional = member.unconditional;
        return unconditional.covers(responseTimes.meanUs(classIndex))
                || (longRequestFactor(classIndex) >= 1
                        && unconditional.isTrialDue(nowUs, settings.rules().overloadWindowUs(), processes()));
    }

    /** The number of processes that may send to a member at the same time. */
    private int processes() {
        return (settings.instances() > 0 ? settings.instances() : MAX_POOLERS) * processesPerPooler;
    }

    /**
     * Charges a request of this class, which {@link #admits} has just admitted, and returns the time from which the
     * charge is void, so that the attempt must not begin: {@link #UNLIMITED} for a warm member.
     */
    long recordSend(MemberBudget member, int classIndex) {
        if (!member.limited) {
            return UNLIMITED;
        }
        double meanUs = responseTimes.meanUs(classIndex);
        member.events.onSent(meanUs);
        long lastInterval = member.credits.spend(classIndex, settings.classes());
        if (lastInterval == AttemptCredits.NO_CREDIT) {
            lastInterval = member.unconditional.spend(member.askedUs, meanUs);
        }
        return (lastInterval + 1) * intervalUs();
    }

    /**
     * Whether an attempt that was sent {@code waitedUs} ago and has waited for its connection since may begin although
     * its charge is void. The caller has to charge it again.
     */
    boolean admitsWaiting(long nowUs, MemberBudget member, int classIndex, long waitedUs) {
        boolean admitted = admits(nowUs, member, classIndex);
        if (admitted) {
            member.events.onBegunLate(waitedUs);
        } else {
            member.events.onRefusedAtBegin();
        }
        return admitted;
    }

    private void logIfDue(long nowUs, MemberBudget member, double capacityShare, int classIndex) {
        log.writeIfDue(
                nowUs,
                settings.rules().overloadWindowUs(),
                member.id,
                member.events,
                () -> String.format(
                        Locale.ROOT,
                        "age %d ms (proven %d), share %.2f, %d credits, %d warm members of its kind, %.2f ms without"
                                + " response, request %.2f ms",
                        (nowUs - member.startedUs) / 1000,
                        (provenTime.at(nowUs) - member.startedUs) / 1000,
                        capacityShare,
                        member.credits.total(),
                        warmMembers(member.machineKind),
                        member.unconditional.workUs() / 1000,
                        responseTimes.meanUs(classIndex) / 1000));
    }

    /** Brings {@link #startingMembers} and {@link #warmMembers} up to date: at each change, and once an interval. */
    private void classifyMembers(long nowUs) {
        if (!membersChanged && nowUs - classifiedUs < intervalUs()) {
            return;
        }
        membersChanged = false;
        classifiedUs = nowUs;
        startingMembers.clear();
        Arrays.fill(warmMembers, 0);
        for (MemberBudget member : members) {
            if (member.usable && capacityShare(nowUs, member) < 1) {
                startingMembers.add(member);
            } else if (member.usable) {
                countWarmMember(member.machineKind);
            }
        }
    }

    private void countWarmMember(int machineKind) {
        if (machineKind >= warmMembers.length) {
            warmMembers = Arrays.copyOf(warmMembers, machineKind + 1);
        }
        warmMembers[machineKind]++;
    }

    private int warmMembers(int machineKind) {
        return machineKind < warmMembers.length ? warmMembers[machineKind] : 0;
    }

    /**
     * Returns the least share of its capacity that a member has now. It is at least as old as its start has been
     * listed, and otherwise no older than positions prove.
     */
    private double capacityShare(long nowUs, MemberBudget member) {
        long listedForUs = nowUs - member.notifiedUs;
        long presentUs = Math.max(provenTime.at(nowUs), member.startedUs + listedForUs);
        return settings.rules().capacityShare(presentUs, member.startedUs);
    }

    private long interval(long nowUs) {
        return Math.floorDiv(nowUs, intervalUs());
    }

    private long intervalUs() {
        return Math.max(1, settings.rules().overloadWindowUs() / INTERVALS_PER_WINDOW);
    }
}
