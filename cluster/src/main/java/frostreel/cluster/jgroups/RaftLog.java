package frostreel.cluster.jgroups;

import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jgroups.protocols.raft.ELECTION;
import org.jgroups.protocols.raft.FileBasedLog;
import org.jgroups.protocols.raft.InMemoryLog;
import org.jgroups.protocols.raft.RAFT;
import org.jgroups.protocols.raft.REDIRECT;
import org.jgroups.stack.Protocol;

/**
 * The majority's log by jgroups-raft, over the channel of {@link GroupMembership}. Proposals go one after
 * another, each again until it was answered or its time is over; {@link CommittedEntries} sees to it that none
 * counts twice. Fields are the owner's thread's alone.
 */
final class RaftLog implements ReplicatedLog {
    /**
     * The leader sends a follower again what it lacks only once it has heard nothing new for so long;
     * proposals that come again sooner than that would keep a member that started again out for ever.
     */
    private static final long RESEND_INTERVAL_MS = 100;

    private static final long RETRY_DELAY_MS = 1000;
    private static final long PROPOSAL_TIMEOUT_MS = 10_000;
    private static final int QUEUE_CAPACITY = 64;
    private static final int MAX_LOG_BYTES = 1 << 20;

    private record Proposal(byte[] bytes, ProposalListener listener) {}

    private final Peer self;
    private final Executor channelExecutor;
    private final Executor owner;
    private final Collection<String> members;
    private final Path folder;
    /** One over all tries to join: what it has been told once, it is not told again. */
    private final CommittedEntries entries;

    private volatile REDIRECT redirect;
    private final Queue<Proposal> queued = new ArrayDeque<>();
    private long lastSequence;
    private boolean inFlight;

    /** {@code folder} keeps the log; null keeps it in memory, and a restart then forgets what it promised. */
    RaftLog(Peer self, Collection<String> members, Path folder, Executor channelExecutor, Executor owner, Listener listener) {
        this.self = self;
        this.channelExecutor = channelExecutor;
        this.owner = owner;
        this.members = members;
        this.folder = folder;
        entries = new CommittedEntries((index, entry) -> owner.execute(() -> listener.onCommitted(index, entry)));
    }

    /** What goes into a channel's stack, above all that carries messages; new for each channel. */
    List<Protocol> protocols() {
        RAFT raft = new RAFT()
                .members(members)
                .raftId(self.name())
                .maxLogSize(MAX_LOG_BYTES)
                .resendInterval(RESEND_INTERVAL_MS)
                .stateMachine(entries);
        if (folder == null) {
            raft.logClass(InMemoryLog.class.getName()).logPrefix(self.toString());
        } else {
            raft.logClass(FileBasedLog.class.getName())
                    .logDir(folder.toString())
                    .logPrefix(self.name())
                    .logUseFsync(true);
        }
        redirect = new REDIRECT();
        return List.of(new ELECTION(), raft, redirect);
    }

    @Override
    public void propose(byte[] entry, ProposalListener listener) {
        ReplicatedLog.checkSize(entry);
        if (queued.size() >= QUEUE_CAPACITY) {
            listener.onUnknown("too many proposals wait");
            return;
        }
        queued.add(new Proposal(CommittedEntries.proposal(self, ++lastSequence, entry), listener));
        next();
    }

    private void next() {
        Proposal p = inFlight ? null : queued.poll();
        if (p != null) {
            inFlight = true;
            long endMs = System.nanoTime() / 1_000_000 + PROPOSAL_TIMEOUT_MS;
            send(p, endMs);
        }
    }

    /** Where the channel's queue is full, a proposal must not be waited for that nobody makes. */
    private void send(Proposal p, long endMs) {
        try {
            channelExecutor.execute(() -> attempt(p, endMs));
        } catch (RejectedExecutionException full) {
            done(p, 0, "the queue to the channel is full");
        }
    }

    private void attempt(Proposal p, long endMs) {
        CompletableFuture<byte[]> answer;
        try {
            answer = redirect.setAsync(p.bytes, 0, p.bytes.length, null);
        } catch (Exception e) { // No leader is known here, or it is out of reach.
            answer = CompletableFuture.failedFuture(e);
        }
        answer.orTimeout(RETRY_DELAY_MS, TimeUnit.MILLISECONDS).whenComplete((bytes, failure) -> {
            if (failure == null) {
                owner.execute(() -> done(p, CommittedEntries.index(bytes), null));
            } else if (System.nanoTime() / 1_000_000 < endMs) {
                CompletableFuture.delayedExecutor(RETRY_DELAY_MS / 2, TimeUnit.MILLISECONDS, owner)
                        .execute(() -> send(p, endMs));
            } else {
                Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
                owner.execute(() -> done(p, 0, String.valueOf(cause)));
            }
        });
    }

    private void done(Proposal p, long index, String why) {
        inFlight = false;
        if (index > 0) {
            p.listener.onCommitted(index);
        } else {
            p.listener.onUnknown(why == null ? "a later one was chosen before it" : why);
        }
        next();
    }
}
