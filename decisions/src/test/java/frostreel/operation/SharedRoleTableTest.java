package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.PeerRoles;
import frostreel.routing.Router.Role;
import frostreel.routing.StableHash;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests what processes that share the memory know of each other's evidence for roles. */
class SharedRoleTableTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long MEMBER = StableHash.keyOf("s-5be2a07c");
    private static final long NONE = PeerRoles.NO_EVIDENCE;
    private final SharedMemoryArray memory = new SharedMemoryArray(SharedRoleTable.LONGS);
    private long lastIncarnation;
    private long refreshUs = NOW_US;
    private final SharedRoleTable before = startProcess(NOW_US);

    private SharedRoleTable startProcess(long nowUs) {
        return new SharedRoleTable(memory, ++lastIncarnation, nowUs, 0);
    }

    private PeerRoles.Evidence read(SharedRoleTable process) {
        PeerRoles.Evidence evidence = new PeerRoles.Evidence();
        refreshUs += SharedRoleTable.FULL_REFRESH_INTERVAL_US;
        process.refresh(refreshUs);
        process.read(MEMBER, evidence);
        return evidence;
    }

    private void assertEvidence(SharedRoleTable process, long primaryAtUs, long replicaAtUs, boolean complete) {
        PeerRoles.Evidence evidence = read(process);
        assertThat(new long[] {evidence.primaryAtUs(), evidence.replicaAtUs()})
                .containsExactly(primaryAtUs, replicaAtUs);
        assertThat(evidence.complete()).as("complete").isEqualTo(complete);
    }

    @Test
    void latestEvidenceOfEitherProcessCountsForBothAndForLaterOnes() {
        assertEvidence(before, NONE, NONE, false);
        before.publish(MEMBER, Role.REPLICA, NOW_US + 5);
        SharedRoleTable after = startProcess(NOW_US + 10);
        assertEvidence(after, NONE, NOW_US + 5, true);
        after.publish(MEMBER, Role.PRIMARY, NOW_US + 20);
        assertEvidence(before, NOW_US + 20, NOW_US + 5, true);
        before.publish(MEMBER, Role.REPLICA, NOW_US + 30);
        before.publish(MEMBER, Role.REPLICA, NOW_US + 7);
        assertEvidence(after, NOW_US + 20, NOW_US + 30, true);
        assertEvidence(startProcess(NOW_US + 40), NOW_US + 20, NOW_US + 30, true);
    }

    /** Guards against a chain of upgrades that forgets what its first process was told. */
    @Test
    void evidenceOutlivesItsProcessThroughMoreUpgradesThanThereAreRegions() {
        before.publish(MEMBER, Role.REPLICA, NOW_US + 5);
        SharedRoleTable last = before;
        long nowUs = NOW_US;
        for (int i = 0; i < 3 * OwnedRegion.REGIONS; i++) {
            last.onHeartbeat(nowUs);
            nowUs += SharedRoleTable.ENDED_AFTER_US - 1;
            last = startProcess(nowUs);
            assertEvidence(last, NONE, NOW_US + 5, true);
        }
    }

    /** Guards against evidence of a dead pooler that outranks the endpoint list of a new one. */
    @Test
    void whatADeadPoolerLeftDoesNotCountForTheNextOne() {
        before.publish(MEMBER, Role.REPLICA, NOW_US + 5);
        SharedRoleTable next = startProcess(NOW_US + SharedRoleTable.ENDED_AFTER_US);
        assertEvidence(next, NONE, NONE, false);
        before.publish(MEMBER, Role.PRIMARY, NOW_US + SharedRoleTable.ENDED_AFTER_US + 1);
        assertEvidence(next, NOW_US + SharedRoleTable.ENDED_AFTER_US + 1, NONE, true);
    }

    @Test
    void evidenceIsIncompleteUntilItIsNewerThanProcessesThatDoNotShareIt() {
        SharedMemoryArray empty = new SharedMemoryArray(SharedRoleTable.LONGS);
        SharedRoleTable first = new SharedRoleTable(empty, 1, NOW_US, NOW_US + 1_000);
        SharedRoleTable second = new SharedRoleTable(empty, 2, NOW_US + 10, NOW_US + 9_000);
        first.publish(MEMBER, Role.PRIMARY, NOW_US + 1_000);
        assertEvidence(second, NOW_US + 1_000, NONE, false);
        first.publish(MEMBER, Role.PRIMARY, NOW_US + 1_000 + SharedRoleTable.RENEWAL_INTERVAL_US);
        assertEvidence(second, NOW_US + 1_000 + SharedRoleTable.RENEWAL_INTERVAL_US, NONE, true);
    }

    @Test
    void suspendedProcessThatLostItsRegionClaimsAnother() {
        before.publish(MEMBER, Role.REPLICA, NOW_US + 5);
        SharedRoleTable last = before;
        for (int i = 1; i <= OwnedRegion.REGIONS; i++) {
            last = startProcess(NOW_US + i);
        }
        before.publish(MEMBER, Role.PRIMARY, NOW_US + 50);
        before.onHeartbeat(NOW_US + 60);
        assertEvidence(last, NOW_US + 50, NOW_US + 5, true);
    }

    @Test
    void damageMakesEvidenceIncompleteUntilItsOwnerWritesItAgain() {
        before.publish(MEMBER, Role.REPLICA, NOW_US + 5);
        SharedRoleTable after = startProcess(NOW_US + 10);
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < memory.values.length; i++) {
            long intact = memory.values[i];
            if (intact == MEMBER || intact == NOW_US + 5) {
                memory.values[i] = intact ^ (1L << random.nextInt(Long.SIZE));
                after.onHeartbeat(refreshUs);
                assertEvidence(after, NONE, NONE, false);
                memory.values[i] = intact;
            }
        }
        Arrays.setAll(memory.values, i -> random.nextLong());
        after.onHeartbeat(refreshUs);
        assertEvidence(after, NONE, NONE, false);
        before.onHeartbeat(refreshUs);
        after.onHeartbeat(refreshUs);
        assertThat(read(after).replicaAtUs()).as("written again by its owner").isEqualTo(NOW_US + 5);
    }

    /** The model is the latest time of each member; what does not fit into the table must be reported as incomplete. */
    @Test
    void evidenceThatDoesNotFitIsReportedAsIncompleteAndNeverAsAnothers() {
        SplittableRandom random = new SplittableRandom(11);
        int members = 4_000;
        long[] replicaAtUs = new long[members];
        SharedRoleTable after = startProcess(NOW_US + 1);
        for (int i = 0; i < 20_000; i++) {
            int member = random.nextInt(members);
            replicaAtUs[member] = NOW_US + (i + 1) * SharedRoleTable.RENEWAL_INTERVAL_US;
            (random.nextBoolean() ? before : after)
                    .publish(StableHash.keyOf("s-" + member), Role.REPLICA, replicaAtUs[member]);
        }
        PeerRoles.Evidence evidence = new PeerRoles.Evidence();
        int incomplete = 0;
        before.refresh(replicaAtUs[0] + SharedRoleTable.FULL_REFRESH_INTERVAL_US);
        for (int member = 0; member < members; member++) {
            before.read(StableHash.keyOf("s-" + member), evidence);
            incomplete += evidence.complete() ? 0 : 1;
            assertThat(evidence.primaryAtUs()).isEqualTo(NONE);
            assertThat(evidence.complete() && evidence.replicaAtUs() != replicaAtUs[member])
                    .isFalse();
        }
        assertThat(incomplete).isBetween(1, members - 1);
    }
}
