package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Request;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Rejection of requests on arrival, and the limit of concurrent requests. */
class LoadShedderTest {
    private static final long NOW_US = 10_000_000;
    private final Router.Settings settings =
            new SettingsBuilder().concurrentRequestLimit(8).build();
    private final LoadShedder shedder = new LoadShedder(new ActiveSettings(settings), new SplittableRandom(7));
    private final GroupState group = new GroupState(1, shedder.newGoodput());

    LoadShedderTest() {
        group.insert(new MemberState("replica", 1, new SlowStart(settings).register(NOW_US), 0, NOW_US));
    }

    private PendingRequest read() {
        Request original =
                new Request("read", RouterHarness.ANY_READ, 42, 1, NOW_US + 4_000_000, Router.NO_WRITE, false);
        return new PendingRequest(original, settings.classes().get(RouterHarness.ANY_READ), group, 8, NOW_US);
    }

    private int shedCount(int requests) {
        int shed = 0;
        for (int i = 0; i < requests; i++) {
            shed += shedder.shouldShed(NOW_US, read()) ? 1 : 0;
        }
        return shed;
    }

    private void endWithoutResponse(int requests, boolean countsForGoodput) {
        for (int i = 0; i < requests; i++) {
            PendingRequest request = read();
            request.countsForGoodput = countsForGoodput;
            shedder.recordEnd(NOW_US, request, false);
        }
    }

    private void shrinkWindowToMinimum() {
        for (int i = 1; i <= 20; i++) {
            group.chain.get(0).window.shrink(NOW_US + i * NOW_US, 0, 1);
        }
    }

    @Test
    void uselessRequestsCauseSheddingOnlyOnceAWindowIsAtItsMinimum() {
        endWithoutResponse(1_000, true);
        assertThat(shedCount(1_000)).isZero();
        shrinkWindowToMinimum();
        assertThat(shedCount(1_000)).isBetween(850, 950);
    }

    @Test
    void minimumWindowShedsNothingAloneOrWithRequestsThatEndedForOtherReasonsThanLoad() {
        shrinkWindowToMinimum();
        assertThat(shedCount(1_000)).isZero();
        endWithoutResponse(1_000, false);
        assertThat(shedCount(1_000)).isZero();
    }

    @Test
    void limitIsNearAboveThreeEighthsOfItAndNeverWithoutALimit() {
        assertThat(shedder.isNearLimit(3)).isFalse();
        assertThat(shedder.isNearLimit(4)).isTrue();
        ActiveSettings unlimited = new ActiveSettings(new SettingsBuilder().build());
        assertThat(new LoadShedder(unlimited, new SplittableRandom(7)).isNearLimit(1_000_000))
                .isFalse();
    }
}
