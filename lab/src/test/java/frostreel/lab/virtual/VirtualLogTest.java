package frostreel.lab.virtual;

import static frostreel.lab.virtual.GroupHarness.name;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.ReplicatedLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The log of the group in virtual time gives the guarantees that the log over sockets is tested for. */
class VirtualLogTest {
    /** Records the entries that one incarnation was notified of, in order, and the outcomes of its proposals. */
    private static final class LogClient {
        final TreeMap<Long, String> committed = new TreeMap<>();
        /** The numbers of its proposals that it was notified of as committed, by entry. */
        final Map<String, Long> acknowledged = new TreeMap<>();

        final List<String> unknown = new ArrayList<>();
        final ReplicatedLog log;

        LogClient(GroupHarness harness, String name) {
            log = harness.group.log(harness.member(name).membership, (number, entry) -> {
                assertThat(number).isEqualTo(committed.isEmpty() ? 1 : committed.lastKey() + 1);
                committed.put(number, new String(entry));
            });
        }

        void propose(String entry) {
            log.propose(entry.getBytes(), new ReplicatedLog.ProposalListener() {
                @Override
                public void onCommitted(long number) {
                    acknowledged.put(entry, number);
                }

                @Override
                public void onUnknown(String reason) {
                    unknown.add(entry);
                }
            });
        }
    }

    @Test
    void minorityPartitionCommitsNothingAndCatchesUpOnceHealed() {
        GroupHarness harness = new GroupHarness(5, 1);
        LogClient minority = new LogClient(harness, "p000");
        LogClient majority = new LogClient(harness, "p004");
        harness.partition(2, true);
        minority.propose("minority");
        majority.propose("majority");
        harness.run(1_000_000);
        assertThat(majority.committed).containsOnly(Map.entry(1L, "majority"));
        assertThat(minority.committed).isEmpty();
        harness.run(20_000_000);
        assertThat(minority.unknown).containsExactly("minority");
        harness.partition(2, false);
        harness.run(1_000_000);
        assertThat(minority.committed).isEqualTo(majority.committed);
    }

    @Test
    void rejectsEntriesThatAreTooLarge() {
        LogClient client = new LogClient(new GroupHarness(5, 1), "p000");
        assertThatThrownBy(() -> client.log.propose(new byte[ReplicatedLog.MAX_ENTRY_BYTES + 1], null))
                .hasMessageContaining("at most");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hundredMembersReadTheSameEntriesThroughCutsPausesAndKills(long seed) {
        int count = 100;
        GroupHarness harness = new GroupHarness(count, seed);
        Map<String, LogClient> clients = new TreeMap<>();
        for (int index = 0; index < count; index++) {
            clients.put(name(index), new LogClient(harness, name(index)));
        }
        Map<Long, String> acknowledged = new TreeMap<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 200; i++) {
            String one = name(random.nextInt(count));
            switch (random.nextInt(4)) {
                case 0 -> harness.group.cut(one, name(random.nextInt(count)), random.nextBoolean());
                case 1 -> harness.group.pause(one, random.nextBoolean());
                case 2 -> {
                    clients.get(one).acknowledged.forEach((entry, number) -> acknowledged.put(number, entry));
                    harness.group.kill(one);
                    harness.join(one, i + 2);
                    clients.put(one, new LogClient(harness, one));
                }
                default -> clients.get(one).propose("e" + i);
            }
            harness.run(random.nextLong(100_000));
        }
        harness.endFaults();
        harness.run(30_000_000);
        Map<Long, String> entries = clients.get(name(0)).committed;
        assertThat(entries).isNotEmpty();
        assertThat(entries.values()).doesNotHaveDuplicates();
        for (LogClient client : clients.values()) {
            assertThat(client.committed).isEqualTo(entries);
            client.acknowledged.forEach((entry, number) -> acknowledged.put(number, entry));
        }
        assertThat(entries).containsAllEntriesOf(acknowledged);
    }
}
