package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.State;
import org.junit.jupiter.api.Test;

/** The part of a started member's work that each router sends it. The rule's span is 2 s, its multiple 3. */
class SlowStartTest {
    private static final int CLS = 0;
    private static final int LONG = 1;
    private static final long START_US = 1_000_000_000;
    private static final long WORK_US = 50_000;
    private static final long SECOND_US = 1_000_000;

    private static Member entry(String id, long startedUs) {
        return Recorder.with(Recorder.up(id, 0, false), State.UP, startedUs);
    }

    private static SlowStart with(int instances, long seed) {
        Setup s = new Setup();
        s.instances = instances;
        s.seed = seed;
        return new SlowStart(s.settings());
    }

    /** How many requests of a class one router sends a member that has just started, over the rule's span. */
    private static int sent(SlowStart slow, SlowStart.Member cold, long fromUs, int cls, long stepUs) {
        int sent = 0;
        for (long now = fromUs; now < fromUs + 2 * SECOND_US; now += stepUs) {
            if (slow.admits(now, cold, cls)) {
                slow.sent(cold, cls);
                sent++;
            }
        }
        return sent;
    }

    /** A warm member serves so many a second of a class, each answered after so long, for 20 s. */
    private static long serve(SlowStart slow, SlowStart.Member warm, int cls, int perSecond, long tookUs) {
        long now = START_US;
        for (; now < START_US + 20 * SECOND_US; now += SECOND_US / perSecond) {
            slow.served(now, warm, cls, tookUs);
        }
        return now;
    }

    /** Sixty routers of one pool let one request each out at once, whatever its size, when their budgets were
     * above nothing. */
    @Test
    void ofManyRoutersThatHaveServedNothingSomeSendAndNotAll() {
        int all = 0;
        for (int seed = 0; seed < 60; seed++) {
            SlowStart slow = with(60, seed);
            SlowStart.Member cold = slow.meet(START_US);
            slow.listed(START_US, cold, entry("b", START_US));
            all += sent(slow, cold, START_US, LONG, 1_000);
        }
        // A quarter of a core for 2 s is four requests of a fifth of their aim; it falls at three times that.
        assertThat(all).isBetween(1, 12);
    }

    /** Times with a queue in them made short work seem as dear as long work: sent long work, it fell. */
    @Test
    void whatAQueueAddsToATimeIsNoWork() {
        SlowStart slow = with(1, 7);
        SlowStart.Member warm = slow.meet(START_US);
        slow.listed(START_US, warm, entry("a", 0));
        slow.served(START_US, warm, CLS, WORK_US);
        slow.served(START_US, warm, LONG, 20 * WORK_US);
        long now = serve(slow, warm, CLS, 10, 20 * WORK_US); // Queued: ten a second of 50 ms.
        SlowStart.Member cold = slow.meet(now);
        slow.listed(now, cold, entry("b", now));
        assertThat(sent(slow, cold, now, LONG, 5_000)).isLessThanOrEqualTo(2);
    }

    /** Where no report tells how busy the others are, what they serve they can do at the least. */
    @Test
    void withoutReportsItGetsMoreThanTheOthersServeAndLessThanPushesItOver() {
        SlowStart slow = with(1, 7);
        SlowStart.Member warm = slow.meet(START_US);
        slow.listed(START_US, warm, entry("a", 0));
        long began = serve(slow, warm, CLS, 40, WORK_US);
        SlowStart.Member cold = slow.meet(began);
        slow.listed(began, cold, entry("b", began));
        int sent = 0;
        for (long now = began; now < began + 2 * SECOND_US; now += SECOND_US / 40) {
            slow.served(now, warm, CLS, WORK_US);
            if (slow.admits(now, cold, CLS)) {
                slow.sent(cold, CLS);
                sent++;
            }
        }
        // Of 80 that the warm one serves meanwhile a cold one could do 20, and falls by 60.
        assertThat(sent).isBetween(21, 59);
    }

    /** By its first guess a write was a thousand times the reads answered so far, and waited for 4 s. */
    @Test
    void aClassThatNobodyAnsweredYetIsGuessedByTheOthers() {
        SlowStart slow = with(0, 7);
        SlowStart.Member only = slow.meet(START_US);
        slow.listed(START_US, only, entry("a", 0));
        for (int i = 0; i < 20; i++) {
            slow.served(START_US, only, CLS, WORK_US / 1000);
        }
        slow.listed(START_US, only, entry("a", START_US));
        assertThat(sent(slow, only, START_US, LONG, 1_000)).isBetween(1, 60);
    }

    @Test
    void aWarmMemberIsNotHeldBack() {
        SlowStart slow = with(100, 7);
        SlowStart.Member m = slow.meet(START_US);
        slow.listed(START_US, m, entry("a", START_US - 18 * SECOND_US));
        assertThat(sent(slow, m, START_US, CLS, 10_000)).isEqualTo(200);
    }
}
