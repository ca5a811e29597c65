package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.SESSION_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Choice of the member that a read is sent to, and of the replicas that are health-checked for it. */
class ReplicaSelectionTest {
    @Test
    void replicaInTheLocalZoneIsPreferredToOtherReplicasAndToThePrimary() {
        RouterHarness harness = threeMembers();
        harness.submit("read", ANY_READ);
        assertEquals("b", harness.lastAttempt("read").member());
    }

    @Test
    void readsWaitForAHealthCheckWhereTheListNamesNoRoles() {
        RouterHarness harness = new SettingsBuilder().listRole(ListRole.SILENT).start(replica("a", 0), replica("b", 0));
        harness.submit("read", BOUNDED_READ);
        assertNull(harness.lastAttempt("read"));
        assertFalse(harness.healthChecked.isEmpty());
        harness.healthCheckSucceeded(harness.healthChecked.get(0), Role.REPLICA, harness.nowUs - 100_000);
        assertEquals(harness.healthChecked.get(0), harness.lastAttempt("read").member());
    }

    /** Checking every replica for a single read costs a fleet of low-traffic routers more than the reads themselves. */
    @Test
    void readWithoutAProvenReplicaChecksReplicasOneAtATimeAndNotThePrimary() {
        RouterHarness harness = threeMembers();
        harness.submit("read", BOUNDED_READ);
        assertEquals(List.of("b"), harness.healthChecked);
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 2_000_000);
        assertEquals(List.of("b", "c"), harness.healthChecked);
        harness.healthCheckSucceeded("c", Role.REPLICA, harness.nowUs - 200_000);
        assertEquals("c", harness.lastAttempt("read").member());
    }

    /** Hundreds of routers that each rotate over all members would fill the connection tables of the members. */
    @Test
    void lowTrafficRouterKeepsToTheReplicaItIsConnectedTo() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 0));
        for (int i = 0; i < 8; i++) {
            harness.submit("read" + i, ANY_READ);
            harness.advance(50_000);
            harness.complete("read" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
            harness.advance(4_000_000);
        }
        assertTrue(harness.attemptCountTo("b") == 8 || harness.attemptCountTo("c") == 8);
    }

    /**
     * A replica may stop applying the log while it runs a long query: spread over all replicas, such queries would
     * leave none fresh.
     */
    @Test
    void longRunningQueriesGoToTheReplicaFurthestBehind() {
        RouterHarness harness = threeMembers();
        for (int i = 0; i < 15; i++) {
            harness.submit("slow" + i, ANY_READ);
            RouterHarness.Attempt attempt = harness.lastAttempt("slow" + i);
            harness.complete(attempt, Outcome.OK, 3_000_000, Role.REPLICA, harness.nowUs - 1_000, null);
        }
        for (int i = 0; i < 40; i++) {
            harness.submit("short" + i, SESSION_READ);
            harness.complete("short" + i, Outcome.OK, Role.REPLICA, harness.nowUs - 1_000);
        }
        harness.advance(3_000_000);
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 5_000);
        long fresh = harness.attemptCountTo("b");
        for (int i = 0; harness.lastAttempt("wait") == null && i < 50; i++) {
            harness.submit("long" + i, ANY_READ);
            if (harness.attemptCount("long" + i) == 0) {
                harness.submit("wait", ANY_READ);
                break;
            }
            assertEquals("c", harness.lastAttempt("long" + i).member());
        }
        assertEquals(0, harness.attemptCount("wait"));
        assertEquals(fresh, harness.attemptCountTo("b"));
        harness.advance(200_000);
        assertEquals(1, harness.attemptCount("wait"), "the read waits only for a share of its latency objective");
    }
}
