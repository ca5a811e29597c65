package frostreel.routing;

import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Search for the primary of a group: along the failover chain, by health checks and by a trial write. */
class PrimarySearchTest {
    @Test
    void writeGoesToTheListedPrimaryAndMovesToTheNextMemberWhenTheRoleIsWrong() {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        assertEquals("a", harness.lastAttempt("write").member());
        harness.complete("write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", harness.lastAttempt("write").member());
        harness.complete("write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", harness.lastAttempt("write").member());
    }

    @Test
    void writesAreQueuedOnceEveryMemberRejectedTheRoleAndReleasedWhenAPrimaryReports() {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.rejectAsReplicas("write", 3);
        harness.submit("second write", NON_IDEMPOTENT_WRITE);
        assertEquals(3, harness.attemptCount("write"));
        assertNull(harness.lastAttempt("second write"));
        harness.advance(1_000_000);
        assertTrue(harness.healthChecked.containsAll(List.of("a", "b", "c")), "the search visits the whole chain");
        assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
        harness.healthCheckSucceeded("c", Role.PRIMARY, harness.nowUs - 50_000);
        assertEquals("c", harness.lastAttempt("write").member());
        assertEquals("c", harness.lastAttempt("second write").member());
    }

    @ParameterizedTest
    @EnumSource(value = Router.HealthChecks.class, names = "REPORT", mode = EnumSource.Mode.EXCLUDE)
    void searchSendsASingleTrialWriteWhereHealthChecksReportNoRoles(Router.HealthChecks healthChecks) {
        RouterHarness harness = new SettingsBuilder()
                .healthChecks(healthChecks)
                .start(primary("a", 0), replica("b", 0), replica("c", 1));
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.rejectAsReplicas("write", 3);
        harness.submit("second write", NON_IDEMPOTENT_WRITE);
        harness.advance(100_000);
        assertTrue(harness.healthChecked.isEmpty());
        assertEquals(
                4,
                harness.attemptCount("write") + harness.attemptCount("second write"),
                "one queued write is sent, the rest stay queued");
    }
}
