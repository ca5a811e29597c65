package frostreel.cluster.jgroups;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.jgroups.Address;
import org.jgroups.protocols.FD_ALL3;
import org.jgroups.protocols.FRAG4;
import org.jgroups.protocols.MERGE3;
import org.jgroups.protocols.MFC;
import org.jgroups.protocols.TCP;
import org.jgroups.protocols.TCPPING;
import org.jgroups.protocols.UFC;
import org.jgroups.protocols.UNICAST3;
import org.jgroups.protocols.VERIFY_SUSPECT2;
import org.jgroups.protocols.pbcast.GMS;
import org.jgroups.protocols.pbcast.NAKACK2;
import org.jgroups.protocols.pbcast.STABLE;
import org.jgroups.protocols.raft.NO_DUPES;
import org.jgroups.stack.Protocol;

/**
 * The JGroups protocol stack of a channel, from the transport up. Failures are detected only by heartbeats, since a
 * socket-based detector would need a second port for each member.
 */
final class ProtocolStack {
    /** Maximum size of an accepted frame, with room for the library's headers and its own messages. */
    private static final int MAX_FRAME_BYTES = 2 * Membership.MAX_MESSAGE_BYTES;

    private static final int MAX_FRAGMENT_BYTES = Membership.MAX_MESSAGE_BYTES / 2;
    private static final int MAX_THREADS = 8;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long JOIN_TIMEOUT_MS = 1000;
    private static final long LEAVE_TIMEOUT_MS = 500;
    /** Lower bound of the random interval between searches for partitions to merge with. */
    private static final long MIN_MERGE_INTERVAL_MS = 500;

    private static final long MAX_MERGE_INTERVAL_MS = 2000;
    /** Number of heartbeats sent within the time after which a member is suspected. */
    private static final int HEARTBEATS_PER_TIMEOUT = 4;

    private ProtocolStack() {}

    /** Creates a stack for one channel, without a replicated log. */
    static List<Protocol> withoutLog(ClusterSettings settings, Consumer<Collection<Address>> onSuspicion)
            throws Exception {
        List<Protocol> stack = reliableTransport(settings);
        stack.addAll(membership());
        stack.add(new SuspicionListener(onSuspicion));
        return stack;
    }

    /** Creates a stack for one channel, with the protocols of the replicated log. */
    static List<Protocol> withLog(ClusterSettings settings, RaftLog log, Consumer<Collection<Address>> onSuspicion)
            throws Exception {
        List<Protocol> stack = reliableTransport(settings);
        stack.add(new NO_DUPES()); // Prevents two incarnations of one member from both voting.
        stack.addAll(membership());
        stack.addAll(log.newProtocols());
        stack.add(new SuspicionListener(onSuspicion));
        return stack;
    }

    private static List<Protocol> reliableTransport(ClusterSettings settings) throws Exception {
        TCPPING discovery = new TCPPING();
        discovery.setInitialHosts(settings.members().values()).setPortRange(0);
        long silentMs = settings.silentAfterMs();
        return new ArrayList<>(List.of(
                transport(settings),
                discovery,
                new MERGE3().setMinInterval(MIN_MERGE_INTERVAL_MS).setMaxInterval(MAX_MERGE_INTERVAL_MS),
                new FD_ALL3().setTimeout(silentMs).setInterval(silentMs / HEARTBEATS_PER_TIMEOUT),
                new VERIFY_SUSPECT2().setTimeout(silentMs / 2),
                new NAKACK2().useMcastXmit(false).logDiscardMessages(false), // Would log a line per message.
                new UNICAST3(),
                new STABLE()));
    }

    private static TCP transport(ClusterSettings settings) throws Exception {
        TCP tcp = new TCP();
        tcp.setBindAddress(settings.bind().getAddress())
                .setBindPort(settings.bind().getPort())
                .setPortRange(0)
                .setExternalAddr(settings.advertised().getAddress())
                .setExternalPort(settings.advertised().getPort());
        tcp.setClientBindAddr(settings.bind().getAddress())
                .setSockConnTimeout(CONNECT_TIMEOUT_MS)
                .setMaxLength(MAX_FRAME_BYTES);
        tcp.getThreadPool().setMaxThreads(MAX_THREADS).setIncreaseMaxSizeDynamically(false);
        return tcp;
    }

    private static List<Protocol> membership() {
        return List.of(
                new GMS()
                        .setJoinTimeout(JOIN_TIMEOUT_MS)
                        .setLeaveTimeout(LEAVE_TIMEOUT_MS)
                        .printLocalAddress(false),
                new UFC(),
                new MFC(),
                new FRAG4().setFragSize(MAX_FRAGMENT_BYTES));
    }
}
