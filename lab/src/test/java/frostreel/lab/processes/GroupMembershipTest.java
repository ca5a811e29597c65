package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.Peer;
import frostreel.cluster.View;
import frostreel.cluster.jgroups.GroupMembership;
import frostreel.net.Loop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The group over real sockets, with a relay on every way; every wait is for an event. */
class GroupMembershipTest {
    private static final int HANG_S = 60;
    private static final long SILENT_MS = 800;
    private Loop loop;
    private final List<Member> members = new ArrayList<>();
    private final List<InetSocketAddress> binds = new ArrayList<>();
    private final Map<String, InetSocketAddress> addresses = new TreeMap<>();
    private final BlockingQueue<Peer> suspects = new LinkedBlockingQueue<>();
    private PeerLinks links;

    /** One pooler's part, with what it learnt. */
    private final class Member implements Membership.Listener {
        final BlockingQueue<View> views = new LinkedBlockingQueue<>();
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
        final ExecutorService owner = Executors.newSingleThreadExecutor();
        final GroupMembership group;
        volatile View last = View.NONE;

        Member(String name, int place, long life) {
            group = new GroupMembership(new ClusterSettings("test", name, binds.get(place), addresses,
                    SILENT_MS), life, owner, this);
        }

        @Override public void changed(View view, View before) {
            assertThat(before).isEqualTo(last);
            assertThat(view.number()).isGreaterThan(before.number());
            last = view;
            views.add(view);
        }

        @Override public void suspected(Peer peer) {
            suspects.add(peer);
        }

        @Override public void received(Peer from, byte[] message) {
            heard.add(from.name() + ":" + (message.length < 100 ? new String(message) : message.length));
        }

        @Override public void failed(String why) {
            failures.add(why);
        }

        /** Waits for a view of these and nobody else, and returns it. */
        View sees(String... names) throws InterruptedException {
            while (true) {
                View v = views.poll(HANG_S, TimeUnit.SECONDS);
                assertThat(v).as("a view of %s at %s", List.of(names), group.self()).isNotNull();
                if (v.members().stream().map(Peer::name).toList().equals(List.of(names))) {
                    return v;
                }
            }
        }

        void leave() throws Exception {
            owner.submit(group::leave).get();
            assertThat(group.awaitLeft(HANG_S * 1000)).isTrue();
        }

        String hears() throws InterruptedException {
            return heard.poll(HANG_S, TimeUnit.SECONDS);
        }
    }

    @BeforeEach void begin() throws IOException {
        loop = new Loop();
    }

    private void network(int count) throws Exception {
        long pid = ProcessHandle.current().pid();
        for (int i = 0; i < count; i++) {
            String host = "127." + (1 + pid % 250) + "." + pid / 250 % 250 + "." + (100 + i);
            try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                binds.add(new InetSocketAddress(host, s.getLocalPort()));
            }
        }
        links = onLoop(() -> new PeerLinks(loop, binds));
        for (int i = 0; i < count; i++) {
            addresses.put("p" + i, links.address(i));
        }
    }

    private interface Task<T> {
        T run() throws IOException;
    }

    private <T> T onLoop(Task<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.thread().execute(() -> {
            try {
                done.complete(task.run());
            } catch (IOException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get();
    }

    private void cut(boolean isCut, int[] from, int[] to) throws Exception {
        onLoop(() -> {
            for (int f : from) {
                for (int t : to) {
                    links.cut(f, t, isCut);
                }
            }
            return null;
        });
    }

    private Member start(String name, int place) {
        Member m = new Member(name, place, 1);
        members.add(m);
        return m;
    }

    private void five() throws Exception {
        network(5);
        for (int i = 0; i < 5; i++) {
            start("p" + i, i);
        }
        for (Member m : members) {
            m.sees("p0", "p1", "p2", "p3", "p4");
        }
    }

    @AfterEach void end() throws Exception {
        for (Member m : members) {
            m.leave();
            m.owner.shutdown();
        }
        if (links != null) {
            onLoop(() -> {
                links.close();
                return null;
            });
        }
        loop.end();
    }

    @Test void aPartThatIsCutOffHasItsOwnViewAndIsOneWithTheOthersOnceHealed() throws Exception {
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

    @Test void oneThatHearsButIsNotHeardIsOut() throws Exception {
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

    @Test void messagesArriveInOrderAndALeaverIsGoneAtOnce() throws Exception {
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
            a.group.cast(("all " + i).getBytes());
            a.group.send(second, ("one " + i).getBytes());
        }
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            heard.add(b.hears());
        }
        for (String kind : List.of("all", "one")) {
            assertThat(heard.stream().filter(h -> h.startsWith("p0:" + kind)).toList()).hasSize(50)
                    .startsWith("p0:" + kind + " 0", "p0:" + kind + " 1").endsWith("p0:" + kind + " 49");
        }
        for (int i = 0; i < 50; i++) {
            assertThat(c.hears()).isEqualTo("p0:all " + i);
        }
        c.group.cast(new byte[Membership.MOST_BYTES]);
        assertThat(a.hears()).isEqualTo("p2:" + Membership.MOST_BYTES);
        assertThatThrownBy(() -> c.group.cast(new byte[Membership.MOST_BYTES + 1]))
                .hasMessageContaining("at most");
        b.leave();
        a.sees("p0", "p2");
        c.sees("p0", "p2");
        assertThat(suspects).isEmpty();
        assertThat(a.heard).isEmpty();
    }

    @Test void whoeverTheSettingsDoNotNameIsNotListenedTo() throws Exception {
        network(3);
        InetSocketAddress taken = addresses.remove("p2");
        Member a = start("p0", 0);
        Member b = start("p1", 1);
        a.sees("p0", "p1");
        b.sees("p0", "p1");
        addresses.put("p2", taken); // It thinks that it is one of them.
        Member stranger = start("p2", 2);
        stranger.sees("p0", "p1", "p2");
        stranger.group.cast("let me in".getBytes());
        stranger.group.send(a.group.self(), "now".getBytes());
        b.group.cast("from a friend".getBytes());
        assertThat(a.hears()).isEqualTo("p1:from a friend");
        assertThat(a.last.members()).extracting(Peer::name).containsExactly("p0", "p1");
        assertThat(a.group.counters()).doesNotContain("strangers=0");
    }

    @Test void aFloodIsBoundedAndCountedWhileTheOwnerIsBusy() throws Exception {
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
            a.group.cast(new byte[10]);
        }
        busy.countDown();
        assertThat(b.hears()).isEqualTo("p0:" + new String(new byte[10]));
    }

    @Test void anAddressThatIsTakenEndsItsPartWithAWord() throws Exception {
        network(1);
        try (ServerSocket taken = new ServerSocket(binds.get(0).getPort(), 1, binds.get(0).getAddress())) {
            assertThat(taken.isBound()).isTrue();
            assertThat(start("p0", 0).failures.poll(HANG_S, TimeUnit.SECONDS)).isNotBlank();
        }
    }

    @Test void aNewLifeIsAnotherPeerOfTheSameName() throws Exception {
        network(2);
        Member a = start("p0", 0);
        a.sees("p0");
        Member b = start("p1", 1);
        a.sees("p0", "p1");
        b.leave();
        a.sees("p0");
        members.add(new Member("p1", 1, 2));
        assertThat(a.sees("p0", "p1").members()).containsExactly(new Peer("p0", 1), new Peer("p1", 2));
    }
}
