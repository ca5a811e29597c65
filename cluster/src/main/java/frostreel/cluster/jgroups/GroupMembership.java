package frostreel.cluster.jgroups;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jgroups.Address;
import org.jgroups.BytesMessage;
import org.jgroups.JChannel;
import org.jgroups.MergeView;
import org.jgroups.Message;
import org.jgroups.Receiver;
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
import org.jgroups.util.ExtendedUUID;

/**
 * Membership by JGroups over TCP. Owns the channel and one thread that speaks to it, as joining, sending and
 * leaving may wait; both queues, to the channel and to the owner's thread, are bounded, and what finds them
 * full is dropped and counted.
 */
public final class GroupMembership implements Membership {
    /** Messages that wait to be sent, and messages heard that wait for the owner's thread. */
    private static final int QUEUE_CAPACITY = 1024;
    /** The largest frame on the wire; more is no message of ours. */
    private static final int MAX_FRAME_BYTES = 2 * MAX_MESSAGE_BYTES;

    private static final int MAX_THREADS = 8;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long JOIN_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 300;
    private static final long LEAVE_TIMEOUT_MS = 500;
    private static final long MIN_MERGE_INTERVAL_MS = 500;
    private static final long MAX_MERGE_INTERVAL_MS = 2000;
    /** Beats in the time after which silence counts. */
    private static final int HEARTBEATS_PER_TIMEOUT = 4;

    private static final String NAME_KEY = "name";
    private static final String INCARNATION_KEY = "life";
    private static final Logger LOG = Logger.getLogger(GroupMembership.class.getName());
    private final ClusterSettings settings;
    private final Peer self;
    private final Executor owner;
    private final Listener listener;
    /** The speaker's alone; a new one for each try to join, as one that was turned away is of no use. */
    private JChannel channel;

    private final ThreadPoolExecutor channelExecutor;
    /** Null where there is none. */
    private final RaftLog log;

    private final AtomicInteger queued = new AtomicInteger();
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder unknownSenders = new LongAdder();
    private MembershipView view = MembershipView.NONE; // With those below, the owner's thread's alone.
    private boolean hasLeft;

    /**
     * Joins, and goes on trying where nobody answers. {@code incarnation} is this start's number; events come by
     * {@code owner}, which runs one at a time, in order.
     */
    public GroupMembership(ClusterSettings settings, long incarnation, Executor owner, Listener listener) {
        this(settings, incarnation, owner, listener, null, null);
    }

    /**
     * The same with a log of the majority's. {@code folder} keeps it, null keeps it in memory alone;
     * {@code chosen} is told of its entries, null for no log.
     */
    public GroupMembership(
            ClusterSettings settings,
            long incarnation,
            Executor owner,
            Listener listener,
            Path folder,
            ReplicatedLog.Listener chosen) {
        this.settings = settings;
        this.owner = owner;
        this.listener = listener;
        self = new Peer(settings.self(), incarnation);
        channelExecutor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), r -> {
            Thread t = new Thread(r, "cluster");
            t.setDaemon(true);
            return t;
        });
        log = chosen == null
                ? null
                : new RaftLog(self, settings.members().keySet(), folder, channelExecutor, this::notifyOwner, chosen);
        channelExecutor.execute(this::join);
    }

    /** Its name and life go with the address, so that everyone knows them with the first word heard. */
    private Address address() {
        return ExtendedUUID.randomUUID(self.toString())
                .put(NAME_KEY, self.name().getBytes(StandardCharsets.UTF_8))
                .put(INCARNATION_KEY, Long.toString(self.incarnation()).getBytes(StandardCharsets.US_ASCII)); // Logs show it.
    }

    private static Peer peer(Address address) {
        if (address instanceof ExtendedUUID id && id.keyExists(NAME_KEY) && id.keyExists(INCARNATION_KEY)) {
            try {
                return new Peer(
                        new String(id.get(NAME_KEY), StandardCharsets.UTF_8),
                        Long.parseLong(new String(id.get(INCARNATION_KEY), StandardCharsets.US_ASCII)));
            } catch (NumberFormatException e) {
                return null; // Nobody of ours.
            }
        }
        return null;
    }

    private List<Protocol> stack() throws Exception {
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
        TCPPING named = new TCPPING();
        named.setInitialHosts(settings.members().values()).setPortRange(0);
        long silentMs = settings.silentAfterMs();
        List<Protocol> stack = new ArrayList<>(List.of(
                tcp,
                named,
                new MERGE3().setMinInterval(MIN_MERGE_INTERVAL_MS).setMaxInterval(MAX_MERGE_INTERVAL_MS),
                new FD_ALL3().setTimeout(silentMs).setInterval(silentMs / HEARTBEATS_PER_TIMEOUT),
                new VERIFY_SUSPECT2().setTimeout(silentMs / 2),
                new NAKACK2().useMcastXmit(false).logDiscardMessages(false), // In a split there are many.
                new UNICAST3(),
                new STABLE()));
        if (log != null) {
            stack.add(new NO_DUPES()); // Two lives of one name would have two votes.
        }
        stack.addAll(List.of(
                new GMS().setJoinTimeout(JOIN_TIMEOUT_MS).setLeaveTimeout(LEAVE_TIMEOUT_MS).printLocalAddress(false),
                new UFC(),
                new MFC(),
                new FRAG4().setFragSize(MAX_MESSAGE_BYTES / 2)));
        if (log != null) {
            stack.addAll(log.protocols());
        }
        stack.add(new SuspicionListener(this::onSuspicion));
        return stack;
    }

    private void join() {
        try {
            channel = new JChannel(stack()).name(self.toString()).setDiscardOwnMessages(true);
            // It would open a port for anyone.
            channel.getProtocolStack().getTransport().getDiagnosticsHandler().setEnabled(false);
            channel.addAddressGenerator(this::address);
            channel.setReceiver(new ChannelReceiver());
            channel.connect(settings.group());
        } catch (SecurityException e) { // The life before this one has not been missed yet.
            LOG.fine(e.getMessage());
            channel.close();
            CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS, this::onChannel)
                    .execute(this::join);
        } catch (Exception e) { // Whatever it is, there is no group for this pooler.
            LOG.log(Level.SEVERE, "GW_CLUSTER: cannot take part in " + settings.group() + " at " + settings.bind(), e);
            notifyOwner(() -> listener.onJoinFailed(String.valueOf(e.getMessage())));
        }
    }

    /** The majority's log; null where it was not asked for. */
    public ReplicatedLog log() {
        return log;
    }

    @Override
    public Peer self() {
        return self;
    }

    @Override
    public MembershipView view() {
        return view;
    }

    @Override
    public void send(Peer to, byte[] message) {
        Membership.checkSize(message);
        onChannel(() -> {
            org.jgroups.View now = channel.getView();
            if (now != null) {
                for (Address a : now.getMembers()) {
                    if (to.equals(peer(a))) {
                        write(a, message);
                    }
                }
            }
        });
    }

    @Override
    public void broadcast(byte[] message) {
        Membership.checkSize(message);
        onChannel(() -> write(null, message));
    }

    private void onChannel(Runnable what) {
        try {
            channelExecutor.execute(what);
        } catch (RejectedExecutionException full) {
            dropped.increment();
        }
    }

    private void write(Address to, byte[] message) {
        try {
            channel.send(new BytesMessage(to, message).setFlag(Message.TransientFlag.DONT_BLOCK));
            sent.increment();
        } catch (Exception e) { // The channel is not in a group, or is leaving it.
            dropped.increment();
        }
    }

    @Override
    public void leave() {
        if (hasLeft) {
            return;
        }
        hasLeft = true;
        channelExecutor.getQueue().clear();
        channelExecutor.execute(() -> channel.close());
        channelExecutor.shutdown();
    }

    /** Waits until it has left, for tests and the program's end; false once the time is over. */
    public boolean awaitTermination(long ms) throws InterruptedException {
        return channelExecutor.awaitTermination(ms, TimeUnit.MILLISECONDS);
    }

    /** What was sent, heard and dropped so far, on one line; from any thread. */
    public String counters() {
        return "sent=" + sent + " received=" + received + " dropped=" + dropped + " strangers=" + unknownSenders;
    }

    private void onSuspicion(Collection<Address> suspects) {
        for (Address a : suspects) {
            Peer p = knownPeer(a);
            if (p != null) {
                notifyOwner(() -> listener.onSuspected(p));
            }
        }
    }

    /** A peer that the settings name; null, and counted, for anyone else. */
    private Peer knownPeer(Address a) {
        Peer p = peer(a);
        if (p == null || !settings.members().containsKey(p.name())) {
            unknownSenders.increment();
            return null;
        }
        return p;
    }

    private void notifyOwner(Runnable event) {
        try {
            owner.execute(() -> {
                if (!hasLeft) {
                    event.run();
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.fine("the owner has ended");
        }
    }

    /** What comes from the channel, on its threads. */
    private final class ChannelReceiver implements Receiver {
        @Override
        public void viewAccepted(org.jgroups.View v) {
            List<Peer> peers = new ArrayList<>();
            for (Address a : v.getMembers()) {
                Peer p = knownPeer(a);
                if (p != null) {
                    peers.add(p);
                }
            }
            MembershipView next = new MembershipView(v.getViewId().getId(), peers, v instanceof MergeView);
            notifyOwner(() -> {
                MembershipView before = view;
                view = next;
                listener.onViewChanged(next, before);
            });
        }

        @Override
        public void receive(Message m) {
            Peer from = knownPeer(m.src());
            if (from == null || m.getLength() > MAX_MESSAGE_BYTES) {
                return;
            }
            if (queued.incrementAndGet() > QUEUE_CAPACITY) {
                queued.decrementAndGet();
                dropped.increment();
                return;
            }
            received.increment();
            byte[] bytes = new byte[m.getLength()];
            System.arraycopy(m.getArray(), m.getOffset(), bytes, 0, bytes.length);
            notifyOwner(() -> {
                queued.decrementAndGet();
                listener.onMessage(from, bytes);
            });
        }
    }
}
