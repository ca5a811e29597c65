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
 * Replicated log by jgroups-raft, on the channel of {@link GroupMembership}. One proposal is in flight at a time, and
 * is retried until it is answered or times out; {@link CommittedEntries} deduplicates the attempts. Fields are
 * confined to the owner's thread unless they say otherwise.
 */
final class RaftLog implements ReplicatedLog {
    /**
     * How long the leader receives nothing new before it resends missing entries to a follower. Proposals retried
     * more often than this would keep a restarted member behind indefinitely.
     */
    private static final long RESEND_INTERVAL_MS = 100;

    private static final long RESPONSE_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 500;
    private static final long PROPOSAL_TIMEOUT_MS = 10_000;
    private static final int MAX_QUEUED_PROPOSALS = 64;
    /** A log that exceeds this size is replaced by a snapshot. */
    private static final int MAX_LOG_BYTES = 1 << 20;

    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    private record Proposal(byte[] bytes, ProposalListener listener) {}

    private final Peer self;
    private final Executor channelExecutor;
    private final Executor ownerExecutor;
    private final Collection<String> memberNames;
    private final Path directory;
    /** Shared by all attempts to join, so that the listener is not notified of an entry twice. */
    private final CommittedEntries entries;
    /** Protocol of the current channel that forwards proposals to the leader; read on the channel executor. */
    private volatile REDIRECT redirect;

    private final Queue<Proposal> queued = new ArrayDeque<>();
    private long lastSequence;
    private boolean proposalInFlight;

    /**
     * Creates a log without protocols.
     *
     * @param directory stores the log; null for a log in memory, whose votes are lost in a restart
     */
    RaftLog(
            Peer self,
            Collection<String> memberNames,
            Path directory,
            Executor channelExecutor,
            Executor ownerExecutor,
            Listener listener) {
        this.self = self;
        this.channelExecutor = channelExecutor;
        this.ownerExecutor = ownerExecutor;
        this.memberNames = memberNames;
        this.directory = directory;
        entries =
                new CommittedEntries((index, entry) -> ownerExecutor.execute(() -> listener.onCommitted(index, entry)));
    }

    /** Creates the log's protocols for a new channel, to be placed above those that transport messages. */
    List<Protocol> newProtocols() {
        RAFT raft = new RAFT()
                .members(memberNames)
                .raftId(self.name())
                .maxLogSize(MAX_LOG_BYTES)
                .resendInterval(RESEND_INTERVAL_MS)
                .stateMachine(entries);
        if (directory == null) {
            raft.logClass(InMemoryLog.class.getName()).logPrefix(self.toString());
        } else {
            raft.logClass(FileBasedLog.class.getName())
                    .logDir(directory.toString())
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
            channelExecutor.execute(() -> sendAttempt(proposal, deadlineMs));
        } catch (RejectedExecutionException full) {
            finishUnknown(proposal, "the queue to the channel is full");
        }
    }

    /** Runs on the channel executor. */
    @SuppressWarnings("FutureReturnValueIgnored") // whenComplete handles both results.
    private void sendAttempt(Proposal proposal, long deadlineMs) {
        CompletableFuture<byte[]> response;
        try {
            response = redirect.setAsync(proposal.bytes, 0, proposal.bytes.length, null);
        } catch (Exception e) { // No leader is known, or it is unreachable.
            response = CompletableFuture.failedFuture(e);
        }
        response.orTimeout(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).whenComplete((bytes, failure) -> {
            if (failure == null) {
                ownerExecutor.execute(() -> onResponse(proposal, CommittedEntries.decodeResponse(bytes)));
            } else {
                onAttemptFailed(proposal, deadlineMs, failure);
            }
        });
    }

    /** Runs on any thread. */
    private void onAttemptFailed(Proposal proposal, long deadlineMs, Throwable failure) {
        if (nowMs() < deadlineMs) {
            CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS, ownerExecutor)
                    .execute(() -> submit(proposal, deadlineMs));
        } else {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            ownerExecutor.execute(() -> finishUnknown(proposal, String.valueOf(cause)));
        }
    }

    private void onResponse(Proposal proposal, long index) {
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
