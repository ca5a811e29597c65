package frostreel.lab.virtual;

import static frostreel.lab.virtual.GroupHarness.SETTLE_US;
import static frostreel.lab.virtual.GroupHarness.SILENCE_TIMEOUT_US;
import static frostreel.lab.virtual.GroupHarness.name;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The group in virtual time gives the guarantees that the group over sockets is tested for: views and messages. */
class VirtualGroupTest {
    @Test
    void partitionMakesTwoViewsWhichMergeOnceItHeals() {
        GroupHarness harness = new GroupHarness(5, 1);
        harness.partition(2, true);
        harness.run(SETTLE_US);
        assertThat(harness.member("p000").viewMembers()).containsExactly("p000", "p001");
        assertThat(harness.member("p004").viewMembers()).containsExactly("p002", "p003", "p004");
        assertThat(harness.member("p000").suspects).containsExactly("p002", "p003", "p004");
        harness.partition(2, false);
        harness.run(SETTLE_US);
        for (RecordingMember member : harness.members()) {
            assertThat(member.viewMembers()).hasSize(5);
            assertThat(member.membership.view().merged()).isTrue();
        }
    }

    @Test
    void memberThatCanOnlyReceiveIsRemoved() {
        GroupHarness harness = new GroupHarness(3, 1);
        harness.group.cut("p002", "p000", true);
        harness.group.cut("p002", "p001", true);
        harness.member("p000").membership.broadcast("received".getBytes());
        harness.member("p002").membership.broadcast("lost".getBytes());
        harness.run(SETTLE_US);
        assertThat(harness.member("p002").messages).containsExactly("p000:received");
        assertThat(harness.member("p001").messages).containsExactly("p000:received");
        assertThat(harness.member("p000").viewMembers()).containsExactly("p000", "p001");
        assertThat(harness.member("p002").viewMembers()).containsExactly("p002");
    }

    @Test
    void cutShorterThanTheSilenceTimeoutChangesNoView() {
        GroupHarness harness = new GroupHarness(3, 1);
        harness.partition(1, true);
        harness.run(SILENCE_TIMEOUT_US / 2);
        harness.partition(1, false);
        harness.run(2 * SETTLE_US);
        harness.members().forEach(member -> assertThat(member.views).hasSize(1));
    }

    @Test
    void pausedMemberIsRemovedThenReceivesMissedMessagesAndRejoinsOnResume() {
        GroupHarness harness = new GroupHarness(3, 1);
        harness.group.pause("p001", true);
        harness.member("p000").membership.broadcast("missed".getBytes());
        harness.run(SETTLE_US);
        assertThat(harness.member("p000").viewMembers()).containsExactly("p000", "p002");
        assertThat(harness.member("p001").viewMembers()).hasSize(3);
        assertThat(harness.member("p001").messages).isEmpty();
        harness.group.pause("p001", false);
        assertThat(harness.member("p001").messages).containsExactly("p000:missed");
        harness.run(SETTLE_US);
        harness.members().forEach(member -> assertThat(member.viewMembers()).hasSize(3));
    }

    @Test
    void messagesKeepTheirOrderWhenTheDelayShrinks() {
        GroupHarness harness = new GroupHarness(2, 1);
        Membership sender = harness.member("p000").membership;
        RecordingMember receiver = harness.member("p001");
        harness.group.delay("p000", "p001", 500_000);
        sender.send(receiver.membership.self(), "one".getBytes());
        harness.group.delay("p000", "p001", 0);
        sender.broadcast("two".getBytes());
        harness.run(400_000);
        assertThat(receiver.messages).isEmpty();
        harness.run(200_000);
        assertThat(receiver.messages).containsExactly("p000:one", "p000:two");
    }

    @Test
    void rejectsMessagesThatAreTooLarge() {
        Membership sender = new GroupHarness(2, 1).member("p000").membership;
        assertThatThrownBy(() -> sender.broadcast(new byte[Membership.MAX_MESSAGE_BYTES + 1]))
                .hasMessageContaining("at most");
    }

    @Test
    void leavingMemberIsNotSuspectedAndItsNextIncarnationIsAnotherPeer() {
        GroupHarness harness = new GroupHarness(3, 1);
        RecordingMember old = harness.member("p001");
        old.membership.leave();
        harness.run(10_000);
        assertThat(harness.member("p000").viewMembers()).containsExactly("p000", "p002");
        assertThat(harness.member("p000").suspects).isEmpty();
        harness.member("p000").membership.send(old.membership.self(), "lost".getBytes());
        RecordingMember next = harness.join("p001", 2);
        harness.run(10_000);
        assertThat(harness.member("p000").membership.view().members()).contains(new Peer("p001", 2));
        assertThat(old.messages).isEmpty();
        assertThat(next.messages).isEmpty();
    }

    @Test
    void refusesMembersThatAreNotConfigured() {
        GroupHarness harness = new GroupHarness(2, 1);
        RecordingMember unconfigured = new RecordingMember(harness.group, "other", 1);
        assertThat(unconfigured.joinFailures).isEmpty();
        harness.run(SETTLE_US);
        assertThat(unconfigured.joinFailures).containsExactly("other is not named");
        harness.members().forEach(member -> assertThat(member.viewMembers()).containsExactly("p000", "p001"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void hundredMembersAgreeOnOneViewOnceAllFaultsHaveEnded(long seed) {
        int count = 100;
        GroupHarness harness = new GroupHarness(count, seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 300; i++) {
            String one = name(random.nextInt(count));
            String other = name(random.nextInt(count));
            switch (random.nextInt(4)) {
                case 0 -> harness.group.cut(one, other, random.nextBoolean());
                case 1 -> harness.group.pause(one, random.nextBoolean());
                case 2 -> {
                    harness.group.kill(one);
                    harness.join(one, i + 2);
                }
                default -> harness.member(one).membership.broadcast(other.getBytes());
            }
            harness.run(random.nextLong(200_000));
        }
        harness.endFaults();
        harness.run(SETTLE_US);
        MembershipView last = harness.member(name(0)).membership.view();
        assertThat(last.members()).hasSize(count);
        harness.members().forEach(member -> assertThat(member.membership.view()).isEqualTo(last));
    }
}
