package frostreel.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When the loop looks for news, on a clock that tests move. */
class EventLoopTest {
    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 1_000;
    private long nowUs;
    private int looks;
    private long lookedUs;
    private EventLoop loop;

    @BeforeEach
    void begin() throws Exception {
        loop = new EventLoop(() -> nowUs);
        loop.onNews(() -> {
            looks++;
            lookedUs = nowUs;
        });
    }

    @AfterEach
    void end() throws Exception {
        loop.end();
    }

    private boolean looksAfter(long us) {
        int before = looks;
        nowUs += us;
        loop.awake();
        return looks > before;
    }

    /** By how often it looked and how long it did not, in a second that is one thing after another. */
    private void busySecond(int mostLooks, long mostUs) {
        looks = 0;
        lookedUs = nowUs;
        for (int i = 0; i < SECOND_US / STEP_US; i++) {
            looksAfter(STEP_US);
            assertThat(nowUs - lookedUs).isLessThanOrEqualTo(mostUs + STEP_US);
        }
        assertThat(looks).isBetween(1, mostLooks);
    }

    @Test
    void underWorkItLooksOnceInAFifthOfTheTimeInWhichSendsHaveToStop() {
        loop.stopSendingUs(SECOND_US);
        busySecond(5, 200_000);
        loop.stopSendingUs(250_000);
        busySecond(20, 50_000);
        loop.stopSendingUs(0);
        busySecond(100, 10_000);
    }

    @Test
    void afterAPauseItLooksFirstWhereThatWasLongForTheRule() {
        loop.stopSendingUs(250_000);
        assertThat(looksAfter(50_000)).isFalse();
        assertThat(looksAfter(1)).isTrue();
        assertThat(looksAfter(51_000)).isTrue();
        loop.stopSendingUs(SECOND_US);
        assertThat(looksAfter(51_000)).isFalse();
        assertThat(looksAfter(150_000)).isTrue();
    }

    @Test
    void whatALookBringsMayAwakeItAgainWithoutEnd() {
        loop.stopSendingUs(0);
        loop.onNews(() -> {
            looks++;
            loop.awake();
        });
        assertThat(looksAfter(SECOND_US)).isTrue();
        assertThat(looks).isEqualTo(1);
    }
}
