package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.HealthChecks;
import org.junit.jupiter.api.Test;

/** Builders of limits set and copy each of them. */
class LimitsTest {
    private static final Limits ALL_DIFFERENT =
            new Limits(2, HealthChecks.REPORT, true, true, 3, true, 4, 5, 6, 7, 8, 9);

    @Test
    void builderSetsEachLimitAndKeepsTheOthers() {
        assertThat(ALL_DIFFERENT.toBuilder().build()).isEqualTo(ALL_DIFFERENT);
        assertThat(ALL_DIFFERENT.toBuilder().requestsPerConnection(1).build())
                .isEqualTo(new Limits(2, HealthChecks.REPORT, true, true, 3, true, 4, 5, 6, 7, 1, 9));
    }

    @Test
    void builderStartsFromOneAttemptAndNothingElse() {
        assertThat(Limits.builder().build())
                .isEqualTo(new Limits(1, HealthChecks.NONE, false, false, 0, false, 0, 0, 0, 0, 1, Limits.UNLIMITED));
    }
}
