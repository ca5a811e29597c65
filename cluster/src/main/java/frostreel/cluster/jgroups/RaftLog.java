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
 * The replicated log by jgroups-raft, on the channel of {@link GroupMembership}. Proposals are made one after
 * another, each retried until it was answered or has timed out; {@link CommittedEntries} deduplicates the
 * attempts. Fields are used on the owner's thread alone unless they say otherwise.
 */
final class RaftLog implements ReplicatedLog {
    /**
     * The leader resends to a follower what it lacks only after receiving nothing new for this long.
     * Proposals retried more often than that would keep a restarted member behind for ever.
     */
    private static final long RESEND_INTERVAL_MS = 100;

    private static final long ANSWER_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 500;
    private static final long PROPOSAL_TIMEOUT_MS = 10_000;
    private static final int MAX_QUEUED_PROPOSALS = 64;
    /** Beyond this size of the log a snapshot is taken. */
    private static final int MAX_LOG_BYTES = 1 << 20;

    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    private record Proposal(byte[] bytes, ProposalListener listener) {}

    private final Peer self;
    private final Executor channelExecutor;
    private final Executor owner;
    private final Collection<String> members;
    private final Path folder;
    /** One for all attempts to join, so that its listener is not notified of an entry twice. */
    private final CommittedEntries entries;
    /** Of the present channel; read on the channel executor. */
    private volatile REDIRECT redirect;

    private final Queue<Proposal> queued = new ArrayDeque<>();
    private long lastSequence;
    private boolean proposalInFlight;

    /**
     * {@code folder} keeps the log; null keeps it in memory, and a restart forgets the votes that were cast.
     */
    RaftLog(
            Peer self,
            Collection<String> members,
            Path folder,
            Executor channelExecutor,
            Executor owner,
            Listener listener) {
        this.self = self;
        this.channelExecutor = channelExecutor;
        this.owner = owner;
        this.members = members;
        this.folder = folder;
        entries = new CommittedEntries((index, entry) -> owner.execute(() -> listener.onCommitted(index, entry)));
    }

    /** Creates the log's protocols for a new channel, whose stack has them above all that carry messages. */
    List<Protocol> newProtocols() {
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
        if (queued.size() >= MAX_QUEUED_PROPOSALS) {
            listener.onUnknown("too many proposals wait");
            return;
        }
        queued.add(new Proposal(CommittedEntries.encodeProposal(self, ++lastSequence, entry), listener));
        proposeNext();
    }

    private void proposeNext() {
        if (proposalInFlight || queued.isEmpty()) {
            return;
        }
        proposalInFlight = true;
        submit(queued.remove(), nowMs() + PROPOSAL_TIMEOUT_MS);
    }

    private void submit(Proposal proposal, long deadlineMs) {
        try {
            channelExecutor.execute(() -> attempt(proposal, deadlineMs));
        } catch (RejectedExecutionException full) {
            finishUnknown(proposal, "the queue to the channel is full");
        }
    }

    /** Runs on the channel executor. */
    @SuppressWarnings("FutureReturnValueIgnored") // Both ends are handled in whenComplete.
    private void attempt(Proposal proposal, long deadlineMs) {
        CompletableFuture<byte[]> answer;
        try {
            answer = redirect.setAsync(proposal.bytes, 0, proposal.bytes.length, null);
        } catch (Exception e) { // No leader is known here, or it cannot be reached.
            answer = CompletableFuture.failedFuture(e);
        }
        answer.orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS).whenComplete((bytes, failure) -> {
            if (failure == null) {
                owner.execute(() -> finish(proposal, CommittedEntries.decodeAnswer(bytes)));
            } else if (nowMs() < deadlineMs) {
                CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS, owner)
                        .execute(() -> submit(proposal, deadlineMs));
            } else {
                Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
                owner.execute(() -> finishUnknown(proposal, String.valueOf(cause)));
            }
        });
    }

    private void finish(Proposal proposal, long index) {
        if (index == CommittedEntries.SUPERSEDED) {
            finishUnknown(proposal, "a later one was chosen before it");
            return;
        }
        proposalInFlight = false;
        proposal.listener.onCommitted(index);
        proposeNext();
    }

    private void finishUnknown(Proposal proposal, String reason) {
        proposalInFlight = false;
        proposal.listener.onUnknown(reason);
        proposeNext();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
