package frostreel.cluster.jgroups;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jgroups.Address;
import org.jgroups.BytesMessage;
import org.jgroups.JChannel;
import org.jgroups.MergeView;
import org.jgroups.Message;
import org.jgroups.Receiver;
import org.jgroups.View;
import org.jgroups.stack.Protocol;

/**
 * Membership in the cluster, implemented with JGroups over TCP. Owns the channel, which is called only on the {@link
 * ChannelExecutor}. The channel delivers events on the library's threads; they are passed to the owner's executor.
 * Both queues are bounded: a message that finds its queue full is dropped and counted. Views are never dropped.
 */
public final class GroupMembership implements Membership {
    /** Maximum number of received messages that are queued for the owner's thread. */
    private static final int MAX_PENDING_MESSAGES = 1024;

    private static final long REJOIN_DELAY_MS = 300;
    private static final Logger LOG = Logger.getLogger(GroupMembership.class.getName());

    private final ClusterSettings settings;
    private final Peer self;
    private final Executor ownerExecutor;
    private final Listener listener;
    private final ChannelExecutor channelExecutor = new ChannelExecutor();
    /** Null if no log was requested. */
    private final RaftLog log;

    private final MessageCounters counters = new MessageCounters();
    private final AtomicInteger pendingMessages = new AtomicInteger();
    /**
     * Confined to the channel executor. Created for each attempt to join, as a channel whose join was rejected cannot
     * be reused.
     */
    private JChannel channel;
    /** Confined to the owner's thread. */
    private MembershipView view = MembershipView.NONE;
    /** Confined to the owner's thread. */
    private boolean leaveRequested;

    /**
     * Joins the cluster. If no member responds, JGroups forms a cluster of this member alone, and merges it with the
     * others once they are found.
     *
     * @param incarnation incarnation of this process, higher at each start
     * @param ownerExecutor runs one task at a time, in order
     */
    public GroupMembership(ClusterSettings settings, long incarnation, Executor ownerExecutor, Listener listener) {
        this(settings, incarnation, ownerExecutor, listener, null, null);
    }

    /**
     * Joins the cluster like the other constructor, with a replicated log.
     *
     * @param directory stores the log; null for a log in memory, which is lost in a restart
     * @param logListener notified of the log's entries; null for no log
     */
    public GroupMembership(
            ClusterSettings settings,
            long incarnation,
            Executor ownerExecutor,
            Listener listener,
            Path directory,
            ReplicatedLog.Listener logListener) {
        this.settings = settings;
        this.ownerExecutor = ownerExecutor;
        this.listener = listener;
        self = new Peer(settings.self(), incarnation);
        log = logListener == null
                ? null
                : new RaftLog(
                        self, settings.members().keySet(), directory, channelExecutor, this::notifyOwner, logListener);
        channelExecutor.execute(this::join);
    }

    private void join() {
        try {
            channel = newChannel();
            channel.connect(settings.clusterName());
        } catch (SecurityException e) { // Rejected while the previous incarnation is in the view.
            LOG.fine(e.getMessage());
            channel.close();
            CompletableFuture.delayedExecutor(REJOIN_DELAY_MS, TimeUnit.MILLISECONDS, this::runOnChannel)
                    .execute(this::join);
        } catch (Exception e) { // The library declares no more specific type.
            LOG.log(Level.SEVERE, "GW_CLUSTER: cannot join " + settings.clusterName() + " at " + settings.bind(), e);
            notifyOwner(() -> listener.onJoinFailed(String.valueOf(e.getMessage())));
        }
    }

    private JChannel newChannel() throws Exception {
        JChannel created = new JChannel(newStack()).name(self.toString()).setDiscardOwnMessages(true);
        // The diagnostics handler would open a port that has no access control.
        created.getProtocolStack().getTransport().getDiagnosticsHandler().setEnabled(false);
        created.addAddressGenerator(() -> PeerAddress.of(self));
        created.setReceiver(new ChannelReceiver());
        return created;
    }

    private List<Protocol> newStack() throws Exception {
        return log == null
                ? ProtocolStack.withoutLog(settings, this::onSuspicion)
                : ProtocolStack.withLog(settings, log, this::onSuspicion);
    }

    /** The replicated log; null if none was requested. */
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
        runOnChannel(() -> {
            View current = channel.getView();
            if (current == null) {
                return;
            }
            for (Address address : current.getMembers()) {
                if (PeerAddress.peer(address).filter(to::equals).isPresent()) {
                    sendToAddress(address, message);
                }
            }
        });
    }

    @Override
    public void broadcast(byte[] message) {
        Membership.checkSize(message);
        runOnChannel(() -> sendToAddress(null, message));
    }

    private void runOnChannel(Runnable task) {
        try {
            channelExecutor.execute(task);
        } catch (RejectedExecutionException full) {
            counters.dropped.increment();
        }
    }

    /** Sends a message to a member, or to all members if {@code to} is null. */
    private void sendToAddress(Address to, byte[] message) {
        try {
            channel.send(new BytesMessage(to, message).setFlag(Message.TransientFlag.DONT_BLOCK));
            counters.sent.increment();
        } catch (Exception e) { // The channel has not joined, or is leaving.
            counters.dropped.increment();
        }
    }

    @Override
    public void leave() {
        if (leaveRequested) {
            return;
        }
        leaveRequested = true;
        channelExecutor.finishWith(() -> channel.close());
    }

    /** Blocks until the member has left the cluster; returns false if the timeout expires first. */
    public boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return channelExecutor.awaitTermination(timeoutMs);
    }

    /** The numbers of messages sent, received and dropped, on one line. Thread-safe. */
    public String counters() {
        return counters.toString();
    }

    private void onSuspicion(Collection<Address> suspects) {
        for (Address address : suspects) {
            configuredPeer(address).ifPresent(peer -> notifyOwner(() -> listener.onSuspected(peer)));
        }
    }

    /** The peer at an address; empty if it is not a configured member, which is counted. */
    private Optional<Peer> configuredPeer(Address address) {
        Optional<Peer> peer =
                PeerAddress.peer(address).filter(named -> settings.members().containsKey(named.name()));
        if (peer.isEmpty()) {
            counters.unknownSenders.increment();
        }
        return peer;
    }

    private void notifyOwner(Runnable event) {
        try {
            ownerExecutor.execute(() -> {
                if (!leaveRequested) {
                    event.run();
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.fine("owner's executor has shut down; event dropped");
        }
    }

    /** Receives the events of the channel on the library's threads. */
    private final class ChannelReceiver implements Receiver {
        @Override
        public void viewAccepted(View accepted) {
            List<Peer> peers = accepted.getMembers().stream()
                    .map(GroupMembership.this::configuredPeer)
                    .flatMap(Optional::stream)
                    .toList();
            long number = accepted.getViewId().getId();
            MembershipView next = new MembershipView(number, peers, accepted instanceof MergeView);
            notifyOwner(() -> {
                MembershipView before = view;
                view = next;
                listener.onViewChanged(next, before);
            });
        }

        @Override
        public void receive(Message message) {
            Optional<Peer> from = configuredPeer(message.src());
            if (from.isPresent() && message.getLength() <= MAX_MESSAGE_BYTES) {
                receive(from.get(), message);
            }
        }

        private void receive(Peer from, Message message) {
            if (pendingMessages.incrementAndGet() > MAX_PENDING_MESSAGES) {
                pendingMessages.decrementAndGet();
                counters.dropped.increment();
                return;
            }
            counters.received.increment();
            byte[] bytes = new byte[message.getLength()];
            System.arraycopy(message.getArray(), message.getOffset(), bytes, 0, bytes.length);
            notifyOwner(() -> {
                pendingMessages.decrementAndGet();
                listener.onMessage(from, bytes);
            });
        }
    }
}
