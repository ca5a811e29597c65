package frostreel.lab.virtual;

import frostreel.cluster.ReplicatedLog;
import frostreel.lab.model.Scheduler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The replicated log of a {@link VirtualGroup}. A majority of the configured members commits an entry; committed
 * entries outlast every incarnation, as if all poolers kept their folders.
 */
final class VirtualLog {
    /** A member's access to the log, and how far it has read. */
    static final class Reader {
        /** Null where the member does not use the log. */
        private ReplicatedLog.Listener listener;

        private long lastDeliveredNumber;
        private boolean catchUpPending;
    }

    private static final long PROPOSAL_TIMEOUT_US = 10_000_000;
    private static final long RETRY_INTERVAL_US = 100_000;

    private final Scheduler scheduler;
    private final GroupLinks links;
    private final long usualDelayUs;
    private final int configuredMembers;
    private final Collection<GroupMember> present;
    private final List<byte[]> committedEntries = new ArrayList<>();

    /** {@code present}: a view of the members that have neither left nor ended, in a fixed order. */
    VirtualLog(
            Scheduler scheduler,
            GroupLinks links,
            long usualDelayUs,
            int configuredMembers,
            Collection<GroupMember> present) {
        this.scheduler = scheduler;
        this.links = links;
        this.usualDelayUs = usualDelayUs;
        this.configuredMembers = configuredMembers;
        this.present = present;
    }

    /** Gives a member access to the log; {@code listener} is notified of all committed entries, past and future. */
    ReplicatedLog open(GroupMember member, ReplicatedLog.Listener listener) {
        member.logReader.listener = listener;
        catchUp(member);
        return (entry, outcome) -> propose(member, entry, outcome);
    }

    private void propose(GroupMember member, byte[] entry, ReplicatedLog.ProposalListener outcome) {
        ReplicatedLog.checkSize(entry);
        byte[] copy = entry.clone();
        long deadlineUs = scheduler.now() + PROPOSAL_TIMEOUT_US;
        scheduler.after(2 * usualDelayUs, () -> tryCommit(member, copy, outcome, deadlineUs));
    }

    /** Retries until a majority can commit the entry, or until the deadline. */
    private void tryCommit(GroupMember member, byte[] entry, ReplicatedLog.ProposalListener outcome, long deadlineUs) {
        if (member.ended()) {
            return;
        }
        if (scheduler.now() >= deadlineUs) {
            member.deliver(() -> outcome.onUnknown("no majority"));
        } else if (member.paused() || !reachesMajority(member)) {
            scheduler.after(RETRY_INTERVAL_US, () -> tryCommit(member, entry, outcome, deadlineUs));
        } else {
            commit(member, entry, outcome);
        }
    }

    /** Commits an entry; the outcome may be lost on its way back to the member that proposed it. */
    private void commit(GroupMember member, byte[] entry, ReplicatedLog.ProposalListener outcome) {
        committedEntries.add(entry);
        long number = committedEntries.size();
        present.forEach(this::catchUp);
        scheduler.after(2 * usualDelayUs, () -> {
            if (reachesMajority(member)) {
                member.deliver(() -> outcome.onCommitted(number));
            } else {
                scheduler.after(
                        PROPOSAL_TIMEOUT_US, () -> member.deliver(() -> outcome.onUnknown("the answer was lost")));
            }
        });
    }

    /** Whether a member reaches a majority of the configured ones, itself included; a paused one reaches no other. */
    private boolean reachesMajority(GroupMember member) {
        long reached = present.stream()
                .filter(other -> other == member || reach(other, member))
                .count();
        return reached > configuredMembers / 2;
    }

    private boolean reach(GroupMember one, GroupMember other) {
        return !one.paused() && !other.paused() && links.isOpenBothWays(one.name(), other.name());
    }

    /** Delivers the committed entries to a member once it reaches a majority, for which it polls. */
    private void catchUp(GroupMember member) {
        Reader reader = member.logReader;
        if (reader.listener == null || reader.catchUpPending) {
            return;
        }
        reader.catchUpPending = true;
        scheduler.after(usualDelayUs, () -> {
            reader.catchUpPending = false;
            if (member.ended()) {
                return;
            }
            if (member.paused() || !reachesMajority(member)) {
                retryCatchUp(member);
            } else {
                deliverCommitted(member);
            }
        });
    }

    private void retryCatchUp(GroupMember member) {
        Reader reader = member.logReader;
        reader.catchUpPending = true;
        scheduler.after(RETRY_INTERVAL_US, () -> {
            reader.catchUpPending = false;
            catchUp(member);
        });
    }

    private void deliverCommitted(GroupMember member) {
        Reader reader = member.logReader;
        reader.lastDeliveredNumber =
                Math.max(reader.lastDeliveredNumber, committedEntries.size() - ReplicatedLog.RETAINED_ENTRIES);
        while (reader.lastDeliveredNumber < committedEntries.size()) {
            long number = ++reader.lastDeliveredNumber;
            member.deliver(() -> reader.listener.onCommitted(number, committedEntries.get((int) number - 1)));
        }
    }
}
