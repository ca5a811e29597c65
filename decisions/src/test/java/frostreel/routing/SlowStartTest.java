package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Member;
import org.junit.jupiter.api.Test;

/** Work that each router sends to a starting member. Three times its capacity over 2 s overloads a member. */
class SlowStartTest {
    private static final int SHORT = 0;
    private static final int LONG = 1;
    private static final long START_US = 1_000_000_000;
    private static final long WORK_US = 50_000;
    private static final long SECOND_US = 1_000_000;

    private static Member entry(String id, long startedUs) {
        return RouterHarness.startedAt(RouterHarness.replica(id, 0), startedUs);
    }

    /** Registers a member that started at this time according to the endpoint list. */
    private static SlowStart.MemberBudget register(SlowStart slowStart, String id, long nowUs, long startedUs) {
        SlowStart.MemberBudget member = slowStart.register(nowUs);
        slowStart.recordListEntry(nowUs, member, entry(id, startedUs));
        return member;
    }

    private static SlowStart.MemberBudget registerWarm(SlowStart slowStart) {
        return register(slowStart, "warm", START_US, Member.NO_START_TIME);
    }

    private static SlowStart slowStart(int instances, long seed) {
        return new SlowStart(
                new SettingsBuilder().instances(instances).seed(seed).build());
    }

    /** Returns the number of requests of a class that one router sends in 2 s to a member that has just started. */
    private static int sent(
            SlowStart slowStart, SlowStart.MemberBudget cold, long fromUs, int classIndex, long stepUs) {
        int sent = 0;
        for (long nowUs = fromUs; nowUs < fromUs + 2 * SECOND_US; nowUs += stepUs) {
            if (slowStart.admits(nowUs, cold, classIndex)) {
                slowStart.recordSend(cold, classIndex);
                sent++;
            }
        }
        return sent;
    }

    /** Lets a warm member serve requests of a class for 20 s at a steady rate, and returns the time at the end. */
    private static long serve(
            SlowStart slowStart, SlowStart.MemberBudget warm, int classIndex, int perSecond, long tookUs) {
        long nowUs = START_US;
        for (; nowUs < START_US + 20 * SECOND_US; nowUs += SECOND_US / perSecond) {
            slowStart.recordResponse(nowUs, warm, classIndex, tookUs);
        }
        return nowUs;
    }

    /**
     * A budget above zero must not suffice for a request: each of sixty routers would send one at the same moment,
     * whatever its size.
     */
    @Test
    void onlySomeOfManyRoutersWithoutHistorySendToAStartingMember() {
        int all = 0;
        for (int seed = 0; seed < 60; seed++) {
            SlowStart slowStart = slowStart(60, seed);
            SlowStart.MemberBudget cold = register(slowStart, "cold", START_US, START_US);
            all += sent(slowStart, cold, START_US, LONG, 1_000);
        }
        // A quarter of a core serves four requests of a fifth of their objective in 2 s; three times that overloads it.
        assertThat(all).isBetween(1, 12);
    }

    /**
     * Times that include queueing would make short requests seem as expensive as long ones, and a starting member would
     * be overloaded by long ones.
     */
    @Test
    void queueingTimeIsNotCountedAsWork() {
        SlowStart slowStart = slowStart(1, 7);
        SlowStart.MemberBudget warm = registerWarm(slowStart);
        slowStart.recordResponse(START_US, warm, SHORT, WORK_US);
        slowStart.recordResponse(START_US, warm, LONG, 20 * WORK_US);
        long nowUs = serve(slowStart, warm, SHORT, 10, 20 * WORK_US); // Ten requests of 50 ms a second, queued.
        SlowStart.MemberBudget cold = register(slowStart, "cold", nowUs, nowUs);
        assertThat(sent(slowStart, cold, nowUs, LONG, 5_000)).isLessThanOrEqualTo(2);
    }

    /** Without reports of utilization, what the other members serve is the minimum that they can do. */
    @Test
    void withoutReportsAStartingMemberReceivesMoreThanOthersServeButLessThanOverloadsIt() {
        SlowStart slowStart = slowStart(1, 7);
        SlowStart.MemberBudget warm = registerWarm(slowStart);
        long startedUs = serve(slowStart, warm, SHORT, 40, WORK_US);
        SlowStart.MemberBudget cold = register(slowStart, "cold", startedUs, startedUs);
        int sent = 0;
        for (long nowUs = startedUs; nowUs < startedUs + 2 * SECOND_US; nowUs += SECOND_US / 40) {
            slowStart.recordResponse(nowUs, warm, SHORT, WORK_US);
            if (slowStart.admits(nowUs, cold, SHORT)) {
                slowStart.recordSend(cold, SHORT);
                sent++;
            }
        }
        // Meanwhile the warm member serves 80 requests. The starting one could serve 20; 60 would overload it.
        assertThat(sent).isBetween(21, 59);
    }

    /** Guards against the processes of an upgrade that together send what overloads a starting member. */
    @Test
    void processesOfAnUpgradeTogetherSendLessThanOverloadsAStartingMember() {
        SlowStart oldProcess = slowStart(1, 7);
        long startedUs = serve(oldProcess, registerWarm(oldProcess), SHORT, 40, WORK_US);
        SlowStart newProcess = slowStart(1, 7);
        SlowStart.MemberBudget newWarm = register(newProcess, "warm", startedUs, Member.NO_START_TIME);
        SlowStart.MemberBudget newCold = register(newProcess, "cold", startedUs, startedUs);
        SlowStart.MemberBudget oldCold = register(oldProcess, "cold", startedUs, startedUs);
        int sent = 0;
        for (long nowUs = startedUs; nowUs < startedUs + 2 * SECOND_US; nowUs += SECOND_US / 40) {
            newProcess.recordResponse(nowUs, newWarm, SHORT, WORK_US); // The whole load has moved to the new process.
            sent += sent(oldProcess, oldCold, nowUs) + sent(newProcess, newCold, nowUs);
        }
        // The starting member could serve 20; 60 would overload it.
        assertThat(sent).isBetween(21, 59);
    }

    private static int sent(SlowStart slowStart, SlowStart.MemberBudget cold, long nowUs) {
        int sent = 0;
        while (slowStart.admits(nowUs, cold, SHORT)) {
            slowStart.recordSend(cold, SHORT);
            sent++;
        }
        return sent;
    }

    /**
     * By its initial estimate alone, a write would cost a thousand times as much as the reads served so far, and wait
     * for 4 s.
     */
    @Test
    void workOfAClassWithoutResponsesIsEstimatedFromTheOtherClasses() {
        SlowStart slowStart = slowStart(0, 7);
        SlowStart.MemberBudget only = registerWarm(slowStart);
        for (int i = 0; i < 20; i++) {
            slowStart.recordResponse(START_US, only, SHORT, WORK_US / 1000);
        }
        slowStart.recordListEntry(START_US, only, entry("warm", START_US)); // The member restarts.
        assertThat(sent(slowStart, only, START_US, LONG, 1_000)).isBetween(1, 60);
    }

    @Test
    void warmMemberIsNotLimited() {
        SlowStart slowStart = slowStart(100, 7);
        SlowStart.MemberBudget member = register(slowStart, "warm", START_US, START_US - 18 * SECOND_US);
        assertThat(sent(slowStart, member, START_US, SHORT, 10_000)).isEqualTo(200);
    }
}
