package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Share of requests to shed, based on how recent requests ended. */
class GoodputTest {
    private static final long TIME_CONSTANT_US = 1_000_000;
    private static final long NOW_US = 5_000_000;
    private final Goodput group = new Goodput(() -> TIME_CONSTANT_US);
    private final Goodput allGroups = new Goodput(() -> TIME_CONSTANT_US);

    private static void add(Goodput goodput, int useful, int useless) {
        for (int i = 0; i < useful; i++) {
            goodput.add(NOW_US, 1);
        }
        for (int i = 0; i < useless; i++) {
            goodput.add(NOW_US, 0);
        }
    }

    @Test
    void nothingIsShedBeforeAnyRequestEnded() {
        assertThat(group.shedShare(NOW_US, allGroups)).isZero();
    }

    @Test
    void nothingIsShedWhileEverySecondRequestIsUseful() {
        add(group, 50, 50);
        add(allGroups, 50, 50);
        assertThat(group.shedShare(NOW_US, allGroups)).isZero();
    }

    @Test
    void almostAllRequestsAreShedIfNoneIsUseful() {
        add(group, 0, 1_000);
        add(allGroups, 0, 1_000);
        assertThat(group.shedShare(NOW_US, allGroups)).isEqualTo(0.9);
    }

    @Test
    void aboutHalfIsShedIfAQuarterIsUseful() {
        add(group, 250, 750);
        assertThat(group.shedShare(NOW_US, allGroups)).isCloseTo(0.5, within(0.001));
    }

    @Test
    void groupWithoutRequestsUsesTheShareOfAllGroups() {
        add(allGroups, 250, 750);
        assertThat(group.shedShare(NOW_US, allGroups)).isCloseTo(0.5, within(0.001));
    }

    @Test
    void requestsOfTheDistantPastDoNotCount() {
        add(group, 0, 1_000);
        assertThat(group.shedShare(NOW_US + 30 * TIME_CONSTANT_US, allGroups)).isCloseTo(0, within(0.001));
    }
}
