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
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Members of a group over real sockets, with a relay between any two; every wait is for an event. */
abstract class GroupRig {
    /** How long a wait for an event may take before the test fails. */
    static final int TIMEOUT_S = 60;

    private static final long SILENT_MS = 800;
    private static final int FIRST_HOST = 100;
    private EventLoop loop;
    final List<Member> members = new ArrayList<>();
    final List<InetSocketAddress> binds = new ArrayList<>();
    final Map<String, InetSocketAddress> addresses = new TreeMap<>();
    final BlockingQueue<Peer> suspects = new LinkedBlockingQueue<>();
    private PeerRelays relays;

    /** One pooler's membership, with a queue for each kind of event that it is notified of. */
    final class Member implements Membership.Listener, ReplicatedLog.Listener {
        final BlockingQueue<String> committedEntries = new LinkedBlockingQueue<>();
        final BlockingQueue<MembershipView> views = new LinkedBlockingQueue<>();
        final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
        final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
        final ExecutorService owner = Executors.newSingleThreadExecutor();
        final GroupMembership group;
        volatile MembershipView lastView = MembershipView.NONE;

        /** {@code folder} holds its replicated log; null for none. */
        Member(String name, int number, long incarnation, Path folder) {
            group = new GroupMembership(
                    new ClusterSettings("test", name, binds.get(number), addresses, SILENT_MS),
                    incarnation,
                    owner,
                    this,
                    folder,
                    folder == null ? null : this);
        }

        @Override
        public void onCommitted(long number, byte[] entry) {
            committedEntries.add(number + ":" + new String(entry));
        }

        @Override
        public void onViewChanged(MembershipView view, MembershipView before) {
            assertThat(before).isEqualTo(lastView);
            assertThat(view.number()).isGreaterThan(before.number());
            lastView = view;
            views.add(view);
        }

        @Override
        public void onSuspected(Peer peer) {
            suspects.add(peer);
        }

        @Override
        public void onMessage(Peer from, byte[] message) {
            messages.add(from.name() + ":" + (message.length < 100 ? new String(message) : message.length));
        }

        @Override
        public void onJoinFailed(String why) {
            failures.add(why);
        }

        /** Waits for a view of exactly these members, and returns it. */
        MembershipView awaitView(String... names) throws InterruptedException {
            while (true) {
                MembershipView view = views.poll(TIMEOUT_S, TimeUnit.SECONDS);
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
            assertThat(group.awaitTermination(TIMEOUT_S * 1000)).isTrue();
        }

        /** The next message, as sender and text. */
        String nextMessage() throws InterruptedException {
            return messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    void startLoop() throws IOException {
        loop = new EventLoop();
    }

    /** Reserves an address for each member, and opens the relays between them. */
    void openNetwork(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            binds.add(PoolerProcess.freePort(InetAddress.getByName(LoopbackHosts.host(FIRST_HOST + i))));
        }
        relays = LoopTasks.call(loop, () -> new PeerRelays(loop, binds));
        for (int i = 0; i < count; i++) {
            addresses.put("p" + i, relays.address(i));
        }
    }

    /** Cuts or heals what some members send to others. */
    void cut(boolean isCut, List<Integer> from, List<Integer> to) throws Exception {
        LoopTasks.call(loop, () -> {
            from.forEach(sender -> to.forEach(receiver -> relays.cut(sender, receiver, isCut)));
            return null;
        });
    }

    /** Cuts or heals both directions between two groups of members. */
    void partition(boolean isCut, List<Integer> one, List<Integer> other) throws Exception {
        cut(isCut, one, other);
        cut(isCut, other, one);
    }

    Member start(int number) {
        Member member = new Member("p" + number, number, 1, null);
        members.add(member);
        return member;
    }

    /** Starts members and waits until each sees all. */
    void startGroup(int count) throws Exception {
        openNetwork(count);
        for (int i = 0; i < count; i++) {
            start(i);
        }
        awaitViewOfAll();
    }

    /** Waits until every member sees all members. */
    void awaitViewOfAll() throws InterruptedException {
        String[] names = addresses.keySet().toArray(String[]::new);
        for (Member member : members) {
            member.awaitView(names);
        }
    }

    @AfterEach
    void end() throws Exception {
        for (Member member : members) {
            member.leave();
            member.owner.shutdown();
        }
        if (relays != null) {
            LoopTasks.call(loop, () -> {
                relays.close();
                return null;
            });
        }
        loop.shutDown();
    }
}
