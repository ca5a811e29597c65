package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.Membership;
import frostreel.cluster.Peer;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A group's membership over real sockets, with a relay between any two members. */
class GroupMembershipTest extends GroupRig {
    private static final int MESSAGES = 50;

    /** Starts two members, the second once the first sees itself; returns when each sees both. */
    private void startTwoInTurn() throws Exception {
        openNetwork(2);
        start(0).awaitView("p0");
        start(1);
        awaitViewOfAll();
    }

    @Test
    void eachPartitionHasItsOwnViewAndBothMergeOnceHealed() throws Exception {
        startGroup(5);
        List<Integer> minority = List.of(0, 1);
        List<Integer> majority = List.of(2, 3, 4);
        partition(true, minority, majority);
        for (int number : minority) {
            members.get(number).awaitView("p0", "p1");
        }
        for (int number : majority) {
            members.get(number).awaitView("p2", "p3", "p4");
        }
        // A member that learns of the partition by another's view need not suspect anyone itself.
        assertThat(suspects).isNotEmpty();
        partition(false, minority, majority);
        for (Member member : members) {
            assertThat(member.awaitView("p0", "p1", "p2", "p3", "p4").merged()).isTrue();
        }
    }

    @Test
    void excludesAMemberThatReceivesButCannotSend() throws Exception {
        startGroup(5);
        cut(true, List.of(4), List.of(0, 1, 2, 3));
        for (Member member : members.subList(0, 4)) {
            member.awaitView("p0", "p1", "p2", "p3");
        }
        cut(false, List.of(4), List.of(0, 1, 2, 3));
        awaitViewOfAll();
    }

    @Test
    void deliversMessagesInOrderAndRemovesALeavingMemberWithoutSuspicion() throws Exception {
        openNetwork(3);
        Member first = start(0);
        first.awaitView("p0");
        Member second = start(1);
        Member third = start(2);
        awaitViewOfAll();
        Peer secondPeer = second.group.self();
        for (int i = 0; i < MESSAGES; i++) {
            first.group.broadcast(("all " + i).getBytes());
            first.group.send(secondPeer, ("one " + i).getBytes());
        }
        List<String> received = new ArrayList<>();
        for (int i = 0; i < 2 * MESSAGES; i++) {
            received.add(second.nextMessage());
        }
        for (String kind : List.of("all", "one")) {
            String prefix = "p0:" + kind;
            assertThat(received.stream()
                            .filter(message -> message.startsWith(prefix))
                            .toList())
                    .hasSize(MESSAGES)
                    .startsWith(prefix + " 0", prefix + " 1")
                    .endsWith(prefix + " 49");
        }
        for (int i = 0; i < MESSAGES; i++) {
            assertThat(third.nextMessage()).isEqualTo("p0:all " + i);
        }
        third.group.broadcast(new byte[Membership.MAX_MESSAGE_BYTES]);
        assertThat(first.nextMessage()).isEqualTo("p2:" + Membership.MAX_MESSAGE_BYTES);
        assertThatThrownBy(() -> third.group.broadcast(new byte[Membership.MAX_MESSAGE_BYTES + 1]))
                .hasMessageContaining("at most");
        second.leave();
        first.awaitView("p0", "p2");
        third.awaitView("p0", "p2");
        assertThat(suspects).isEmpty();
        assertThat(first.messages).isEmpty();
    }

    @Test
    void ignoresSendersThatTheSettingsDoNotName() throws Exception {
        openNetwork(3);
        InetSocketAddress unnamed = addresses.remove("p2");
        Member first = start(0);
        Member second = start(1);
        awaitViewOfAll();
        addresses.put("p2", unnamed); // By its own settings, it is a member.
        Member unknownSender = start(2);
        unknownSender.awaitView("p0", "p1", "p2");
        unknownSender.group.broadcast("to all".getBytes());
        unknownSender.group.send(first.group.self(), "to one".getBytes());
        second.group.broadcast("from a member".getBytes());
        assertThat(first.nextMessage()).isEqualTo("p1:from a member");
        assertThat(first.lastView.members()).extracting(Peer::name).containsExactly("p0", "p1");
        assertThat(first.group.counters()).doesNotContain("unknown_senders=0");
    }

    @Test
    void dropsAndCountsMessagesBeyondItsQueueWhileTheOwnerIsBusy() throws Exception {
        startTwoInTurn();
        Member receiver = members.get(1);
        CountDownLatch busy = new CountDownLatch(1);
        receiver.owner.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (receiver.group.counters().contains(" dropped=0 ")) {
            members.get(0).group.broadcast(new byte[10]);
        }
        busy.countDown();
        assertThat(receiver.nextMessage()).isEqualTo("p0:" + new String(new byte[10]));
    }

    @Test
    void reportsThatItCannotJoinWhereItsAddressIsInUse() throws Exception {
        openNetwork(1);
        try (ServerSocket inUse =
                new ServerSocket(binds.get(0).getPort(), 1, binds.get(0).getAddress())) {
            assertThat(inUse.isBound()).isTrue();
            assertThat(start(0).failures.poll(TIMEOUT_S, TimeUnit.SECONDS)).isNotBlank();
        }
    }

    @Test
    void restartedMemberIsAnotherPeerOfTheSameName() throws Exception {
        startTwoInTurn();
        Member first = members.get(0);
        members.get(1).leave();
        first.awaitView("p0");
        members.add(new Member("p1", 1, 2, null));
        assertThat(first.awaitView("p0", "p1").members()).containsExactly(new Peer("p0", 1), new Peer("p1", 2));
    }
}
