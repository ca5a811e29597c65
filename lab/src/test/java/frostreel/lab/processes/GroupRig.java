package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import frostreel.cluster.jgroups.GroupMembership;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Members of a group over real sockets, with a relay on every way; every wait is for an event. */
abstract class GroupRig {
    static final int HANG_S = 60;
    private static final long SILENT_MS = 800;
    private EventLoop loop;
    final List<Member> members = new ArrayList<>();
    final List<InetSocketAddress> binds = new ArrayList<>();
    final Map<String, InetSocketAddress> addresses = new TreeMap<>();
    final BlockingQueue<Peer> suspects = new LinkedBlockingQueue<>();
    private PeerRelays links;

    /** One pooler's part, with what it learnt. */
    final class Member implements Membership.Listener, ReplicatedLog.Listener {
        final BlockingQueue<String> chosen = new LinkedBlockingQueue<>();
        final BlockingQueue<MembershipView> views = new LinkedBlockingQueue<>();
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
        final ExecutorService owner = Executors.newSingleThreadExecutor();
        final GroupMembership group;
        volatile MembershipView last = MembershipView.NONE;

        /** {@code folder}: of its log, null for none. */
        Member(String name, int place, long life, Path folder) {
            group = new GroupMembership(
                    new ClusterSettings("test", name, binds.get(place), addresses, SILENT_MS),
                    life,
                    owner,
                    this,
                    folder,
                    folder == null ? null : this);
        }

        @Override
        public void onCommitted(long number, byte[] entry) {
            chosen.add(number + ":" + new String(entry));
        }

        @Override
        public void onViewChanged(MembershipView view, MembershipView before) {
            assertThat(before).isEqualTo(last);
            assertThat(view.number()).isGreaterThan(before.number());
            last = view;
            views.add(view);
        }

        @Override
        public void onSuspected(Peer peer) {
            suspects.add(peer);
        }

        @Override
        public void onMessage(Peer from, byte[] message) {
            heard.add(from.name() + ":" + (message.length < 100 ? new String(message) : message.length));
        }

        @Override
        public void onJoinFailed(String why) {
            failures.add(why);
        }

        /** Waits for a view of these and nobody else, and returns it. */
        MembershipView sees(String... names) throws InterruptedException {
            while (true) {
                MembershipView view = views.poll(HANG_S, TimeUnit.SECONDS);
                assertThat(view)
                        .as("a view of %s at %s", List.of(names), group.self())
                        .isNotNull();
                if (view.members().stream().map(Peer::name).toList().equals(List.of(names))) {
                    return view;
                }
            }
        }

        void leave() throws Exception {
            owner.submit(group::leave).get();
            assertThat(group.awaitTermination(HANG_S * 1000)).isTrue();
        }

        String hears() throws InterruptedException {
            return heard.poll(HANG_S, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
    }

    void network(int count) throws Exception {
        long pid = ProcessHandle.current().pid();
        for (int i = 0; i < count; i++) {
            String host = "127." + (1 + pid % 250) + "." + pid / 250 % 250 + "." + (100 + i);
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                binds.add(new InetSocketAddress(host, socket.getLocalPort()));
            }
        }
        links = onLoop(() -> new PeerRelays(loop, binds));
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

    void cut(boolean isCut, int[] from, int[] to) throws Exception {
        onLoop(() -> {
            for (int f : from) {
                for (int t : to) {
                    links.cut(f, t, isCut);
                }
            }
            return null;
        });
    }

    Member start(String name, int place) {
        Member member = new Member(name, place, 1, null);
        members.add(member);
        return member;
    }

    void five() throws Exception {
        network(5);
        for (int i = 0; i < 5; i++) {
            start("p" + i, i);
        }
        for (Member m : members) {
            m.sees("p0", "p1", "p2", "p3", "p4");
        }
    }

    @AfterEach
    void end() throws Exception {
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
}
