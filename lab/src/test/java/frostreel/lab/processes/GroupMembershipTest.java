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

/** The group over real sockets, with a relay on every way. */
class GroupMembershipTest extends GroupRig {
    @Test
    void aPartThatIsCutOffHasItsOwnViewAndIsOneWithTheOthersOnceHealed() throws Exception {
        five();
        cut(true, new int[] {0, 1}, new int[] {2, 3, 4});
        cut(true, new int[] {2, 3, 4}, new int[] {0, 1});
        for (Member m : members) {
            m.sees(members.indexOf(m) < 2 ? new String[] {"p0", "p1"} : new String[] {"p2", "p3", "p4"});
        }
        // Who is told by another's view first need not have come to suspect anyone itself.
        assertThat(suspects).isNotEmpty();
        cut(false, new int[] {0, 1}, new int[] {2, 3, 4});
        cut(false, new int[] {2, 3, 4}, new int[] {0, 1});
        for (Member m : members) {
            assertThat(m.sees("p0", "p1", "p2", "p3", "p4").merged()).isTrue();
        }
    }

    @Test
    void oneThatHearsButIsNotHeardIsOut() throws Exception {
        five();
        cut(true, new int[] {4}, new int[] {0, 1, 2, 3});
        for (int i = 0; i < 4; i++) {
            members.get(i).sees("p0", "p1", "p2", "p3");
        }
        cut(false, new int[] {4}, new int[] {0, 1, 2, 3});
        for (Member m : members) {
            m.sees("p0", "p1", "p2", "p3", "p4");
        }
    }

    @Test
    void messagesArriveInOrderAndALeaverIsGoneAtOnce() throws Exception {
        network(3);
        Member a = start("p0", 0);
        a.sees("p0");
        Member b = start("p1", 1);
        Member c = start("p2", 2);
        for (Member m : members) {
            m.sees("p0", "p1", "p2");
        }
        Peer second = b.group.self();
        for (int i = 0; i < 50; i++) {
            a.group.broadcast(("all " + i).getBytes());
            a.group.send(second, ("one " + i).getBytes());
        }
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            heard.add(b.hears());
        }
        for (String kind : List.of("all", "one")) {
            assertThat(heard.stream().filter(h -> h.startsWith("p0:" + kind)).toList())
                    .hasSize(50)
                    .startsWith("p0:" + kind + " 0", "p0:" + kind + " 1")
                    .endsWith("p0:" + kind + " 49");
        }
        for (int i = 0; i < 50; i++) {
            assertThat(c.hears()).isEqualTo("p0:all " + i);
        }
        c.group.broadcast(new byte[Membership.MAX_MESSAGE_BYTES]);
        assertThat(a.hears()).isEqualTo("p2:" + Membership.MAX_MESSAGE_BYTES);
        assertThatThrownBy(() -> c.group.broadcast(new byte[Membership.MAX_MESSAGE_BYTES + 1]))
                .hasMessageContaining("at most");
        b.leave();
        a.sees("p0", "p2");
        c.sees("p0", "p2");
        assertThat(suspects).isEmpty();
        assertThat(a.heard).isEmpty();
    }

    @Test
    void whoeverTheSettingsDoNotNameIsNotListenedTo() throws Exception {
        network(3);
        InetSocketAddress taken = addresses.remove("p2");
        Member a = start("p0", 0);
        Member b = start("p1", 1);
        a.sees("p0", "p1");
        b.sees("p0", "p1");
        addresses.put("p2", taken); // It thinks that it is one of them.
        Member stranger = start("p2", 2);
        stranger.sees("p0", "p1", "p2");
        stranger.group.broadcast("let me in".getBytes());
        stranger.group.send(a.group.self(), "now".getBytes());
        b.group.broadcast("from a friend".getBytes());
        assertThat(a.hears()).isEqualTo("p1:from a friend");
        assertThat(a.last.members()).extracting(Peer::name).containsExactly("p0", "p1");
        assertThat(a.group.counters()).doesNotContain("unknown_senders=0");
    }

    @Test
    void aFloodIsBoundedAndCountedWhileTheOwnerIsBusy() throws Exception {
        network(2);
        Member a = start("p0", 0);
        a.sees("p0");
        Member b = start("p1", 1);
        a.sees("p0", "p1");
        b.sees("p0", "p1");
        CountDownLatch busy = new CountDownLatch(1);
        b.owner.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (b.group.counters().contains(" dropped=0 ")) {
            a.group.broadcast(new byte[10]);
        }
        busy.countDown();
        assertThat(b.hears()).isEqualTo("p0:" + new String(new byte[10]));
    }

    @Test
    void anAddressThatIsTakenEndsItsPartWithAWord() throws Exception {
        network(1);
        try (ServerSocket taken =
                new ServerSocket(binds.get(0).getPort(), 1, binds.get(0).getAddress())) {
            assertThat(taken.isBound()).isTrue();
            assertThat(start("p0", 0).failures.poll(HANG_S, TimeUnit.SECONDS)).isNotBlank();
        }
    }

    @Test
    void aNewLifeIsAnotherPeerOfTheSameName() throws Exception {
        network(2);
        Member a = start("p0", 0);
        a.sees("p0");
        Member b = start("p1", 1);
        a.sees("p0", "p1");
        b.leave();
        a.sees("p0");
        members.add(new Member("p1", 1, 2, null));
        assertThat(a.sees("p0", "p1").members()).containsExactly(new Peer("p0", 1), new Peer("p1", 2));
    }
}
