package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Cost of a member based on its latency, failures and silence. */
class OutlierDetectorTest {
    private static final long NOW_US = 1_000_000;
    private static final long LATER_US = NOW_US + 60_000_000;
    private static final double MEAN_LATENCY_US = 100_000;
    private final OutlierDetector detector = new OutlierDetector(NOW_US);

    private double cost(long nowUs) {
        return detector.cost(nowUs, 0, 1);
    }

    @Test
    void memberLikeItsPeersCostsItsLoad() {
        assertThat(detector.cost(NOW_US, 0, 1.5)).isEqualTo(1.5);
        assertThat(detector.expectedLatencyUs(NOW_US, MEAN_LATENCY_US)).isEqualTo(MEAN_LATENCY_US);
    }

    @Test
    void slowResponsesRaiseTheCostAndDecay() {
        for (int i = 0; i < 50; i++) {
            detector.recordSuccess(NOW_US, 5);
        }
        assertThat(cost(NOW_US)).isCloseTo(5, within(0.01));
        assertThat(detector.expectedLatencyUs(NOW_US, MEAN_LATENCY_US)).isCloseTo(5 * MEAN_LATENCY_US, within(1_000.0));
        assertThat(cost(LATER_US)).isCloseTo(1, within(0.01));
    }

    @Test
    void singleResponseCountsAsNoMoreThanTenTimesTheMean() {
        detector.recordSuccess(NOW_US, 1_000);
        assertThat(cost(NOW_US)).isCloseTo(1 + 0.15 * 9, within(1e-9));
    }

    @Test
    void failuresRaiseTheCostAndDecayAndAreDiscardedAfterARestart() {
        detector.recordFailure(NOW_US);
        assertThat(cost(NOW_US)).isCloseTo(1 + 12 * 0.3, within(1e-9));
        assertThat(cost(LATER_US)).isCloseTo(1, within(0.01));
        detector.reset();
        assertThat(cost(NOW_US)).isEqualTo(1);
    }

    @Test
    void memberIsSilentAfterFourTimesTheExpectedLatencyWithoutAnyResponse() {
        detector.recordSend(NOW_US, 0, MEAN_LATENCY_US);
        long silentFromUs = NOW_US + 400_001;
        assertThat(detector.isSilent(silentFromUs - 1, 1)).isFalse();
        assertThat(detector.isSilent(silentFromUs, 1)).isTrue();
        assertThat(detector.isSilent(silentFromUs, 0)).as("without attempts").isFalse();
        assertThat(detector.cost(silentFromUs, 1, 1)).isEqualTo(12);
        detector.recordResponse(silentFromUs);
        assertThat(detector.isSilent(silentFromUs, 1)).isFalse();
    }
}
