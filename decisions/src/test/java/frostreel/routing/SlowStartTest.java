package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Member;
import org.junit.jupiter.api.Test;

/** How much of a starting member's work each router sends it; overload is three times its capacity over 2 s. */
class SlowStartTest {
    private static final int SHORT = 0;
    private static final int LONG = 1;
    private static final long START_US = 1_000_000_000;
    private static final long WORK_US = 50_000;
    private static final long SECOND_US = 1_000_000;

    private static Member entry(String id, long startedUs) {
        return RouterHarness.startedAt(RouterHarness.replica(id, 0), startedUs);
    }

    /** Registers a member that the list says has started then. */
    private static SlowStart.Member register(SlowStart slowStart, String id, long nowUs, long startedUs) {
        SlowStart.Member member = slowStart.register(nowUs);
        slowStart.recordListEntry(nowUs, member, entry(id, startedUs));
        return member;
    }

    private static SlowStart.Member registerWarm(SlowStart slowStart) {
        return register(slowStart, "warm", START_US, Member.LONG_AGO);
    }

    private static SlowStart slowStart(int instances, long seed) {
        return new SlowStart(
                new SettingsBuilder().instances(instances).seed(seed).build());
    }

    /** How many requests of a class one router sends a member that has just started, over 2 s. */
    private static int sent(SlowStart slowStart, SlowStart.Member cold, long fromUs, int classIndex, long stepUs) {
        int sent = 0;
        for (long nowUs = fromUs; nowUs < fromUs + 2 * SECOND_US; nowUs += stepUs) {
            if (slowStart.admits(nowUs, cold, classIndex)) {
                slowStart.recordSend(cold, classIndex);
                sent++;
            }
        }
        return sent;
    }

    /** Lets a warm member serve requests of a class for 20 s at a steady rate. */
    private static long serve(SlowStart slowStart, SlowStart.Member warm, int classIndex, int perSecond, long tookUs) {
        long nowUs = START_US;
        for (; nowUs < START_US + 20 * SECOND_US; nowUs += SECOND_US / perSecond) {
            slowStart.recordResponse(nowUs, warm, classIndex, tookUs);
        }
        return nowUs;
    }

    /**
     * Sixty routers of one pool once sent one request each at the same moment, whatever its size, because every
     * budget was above zero.
     */
    @Test
    void onlySomeOfManyRoutersWithoutHistorySendToAStartingMember() {
        int all = 0;
        for (int seed = 0; seed < 60; seed++) {
            SlowStart slowStart = slowStart(60, seed);
            SlowStart.Member cold = register(slowStart, "cold", START_US, START_US);
            all += sent(slowStart, cold, START_US, LONG, 1_000);
        }
        // A quarter of a core does four requests of a fifth of their objective in 2 s; three times that overloads it.
        assertThat(all).isBetween(1, 12);
    }

    /**
     * Times that include queueing made short work seem as expensive as long work: given long work, the member was
     * overloaded.
     */
    @Test
    void queueingTimeIsNotCountedAsWork() {
        SlowStart slowStart = slowStart(1, 7);
        SlowStart.Member warm = registerWarm(slowStart);
        slowStart.recordResponse(START_US, warm, SHORT, WORK_US);
        slowStart.recordResponse(START_US, warm, LONG, 20 * WORK_US);
        long nowUs = serve(slowStart, warm, SHORT, 10, 20 * WORK_US); // Queued: ten a second of 50 ms.
        SlowStart.Member cold = register(slowStart, "cold", nowUs, nowUs);
        assertThat(sent(slowStart, cold, nowUs, LONG, 5_000)).isLessThanOrEqualTo(2);
    }

    /** Where no report tells how busy the others are, what they serve is the least that they can do. */
    @Test
    void withoutReportsAStartingMemberReceivesMoreThanOthersServeButLessThanOverloadsIt() {
        SlowStart slowStart = slowStart(1, 7);
        SlowStart.Member warm = registerWarm(slowStart);
        long startedUs = serve(slowStart, warm, SHORT, 40, WORK_US);
        SlowStart.Member cold = register(slowStart, "cold", startedUs, startedUs);
        int sent = 0;
        for (long nowUs = startedUs; nowUs < startedUs + 2 * SECOND_US; nowUs += SECOND_US / 40) {
            slowStart.recordResponse(nowUs, warm, SHORT, WORK_US);
            if (slowStart.admits(nowUs, cold, SHORT)) {
                slowStart.recordSend(cold, SHORT);
                sent++;
            }
        }
        // Of the 80 requests that the warm member serves meanwhile a starting one could do 20; 60 would overload it.
        assertThat(sent).isBetween(21, 59);
    }

    /** By its first estimate a write was a thousand times the reads answered so far, and waited for 4 s. */
    @Test
    void workOfAClassWithoutAnswersIsEstimatedFromTheOtherClasses() {
        SlowStart slowStart = slowStart(0, 7);
        SlowStart.Member only = registerWarm(slowStart);
        for (int i = 0; i < 20; i++) {
            slowStart.recordResponse(START_US, only, SHORT, WORK_US / 1000);
        }
        slowStart.recordListEntry(START_US, only, entry("warm", START_US)); // It restarts.
        assertThat(sent(slowStart, only, START_US, LONG, 1_000)).isBetween(1, 60);
    }

    @Test
    void warmMemberIsNotLimited() {
        SlowStart slowStart = slowStart(100, 7);
        SlowStart.Member member = register(slowStart, "warm", START_US, START_US - 18 * SECOND_US);
        assertThat(sent(slowStart, member, START_US, SHORT, 10_000)).isEqualTo(200);
    }
}
