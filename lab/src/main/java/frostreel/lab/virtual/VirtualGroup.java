package frostreel.lab.virtual;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import frostreel.lab.model.Scheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Cluster membership of hundreds of poolers in virtual time. It does not run a group protocol, but gives the
 * guarantees of one: some time after links or members changed, members that reach each other in both directions
 * have the same view, and messages sent within a view arrive in order or not at all. A pooler that can only send,
 * or only receive, is not in the view of the others.
 */
public final class VirtualGroup {
    /** The random part, at most, of the time until a view changes; it adds to the silence timeout. */
    private static final long MAX_VIEW_SPREAD_US = 500_000;

    private static final long PROPOSAL_TIMEOUT_US = 10_000_000;
    private static final long RETRY_INTERVAL_US = 100_000;
    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Set<String> configuredNames;
    private final long silenceTimeoutUs;
    private final List<byte[]> committedEntries = new ArrayList<>();
    private final Map<String, Member> present = new TreeMap<>();
    /** Peers that left gracefully, of which suspicion is not reported. */
    private final Set<Peer> gracefulLeavers = new HashSet<>();
    /** By direction, as sender and receiver: since when it is cut. */
    private final Map<List<String>, Long> cutsSinceUs = new HashMap<>();

    private final Map<List<String>, Long> delays = new HashMap<>();
    private final Map<List<String>, Long> lastArrivals = new HashMap<>();
    private final long usualDelayUs;

    /**
     * A group without members.
     *
     * @param configuredNames who may join; a majority of them commits entries of the log
     * @param silenceTimeoutUs after how long a silent member is removed from the view, in microseconds
     * @param delayUs usual one-way delay of a message, in microseconds
     */
    public VirtualGroup(
            Scheduler scheduler,
            SplittableRandom random,
            Set<String> configuredNames,
            long silenceTimeoutUs,
            long delayUs) {
        this.scheduler = scheduler;
        this.random = random;
        this.configuredNames = Set.copyOf(configuredNames);
        this.silenceTimeoutUs = silenceTimeoutUs;
        usualDelayUs = delayUs;
    }

    /** One incarnation of a pooler in the group. */
    private final class Member implements Membership {
        private final Peer self;
        private final Listener listener;
        /** Events that came while it was paused. */
        private final Queue<Runnable> missedEvents = new ArrayDeque<>();

        private MembershipView view = MembershipView.NONE;
        /** The newest view that contains it, which it adopts once it is not paused. */
        private MembershipView latestView = MembershipView.NONE;
        /** Null where it does not use the replicated log. */
        private ReplicatedLog.Listener logListener;

        private long lastDeliveredNumber;
        private boolean catchUpPending;
        private boolean paused;
        private long pausedAtUs;
        private boolean gone;

        Member(Peer self, Listener listener) {
            this.self = self;
            this.listener = listener;
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
            if (!to.equals(self) && view.members().contains(to)) {
                carry(this, to, message);
            }
        }

        @Override
        public void broadcast(byte[] message) {
            Membership.checkSize(message);
            for (Peer to : view.members()) {
                if (!to.equals(self)) {
                    carry(this, to, message);
                }
            }
        }

        @Override
        public void leave() {
            if (!gone) {
                gracefulLeavers.add(self);
                end(this);
                regroupIn(usualDelayUs);
            }
        }

        private void deliver(Runnable event) {
            if (gone) {
                return;
            }
            if (paused) {
                missedEvents.add(event);
            } else {
                event.run();
            }
        }

        private void adopt(MembershipView next) {
            MembershipView before = view;
            view = next;
            next.left(before).stream()
                    .filter(peer -> !gracefulLeavers.contains(peer))
                    .forEach(listener::onSuspected);
            listener.onViewChanged(next, before);
        }
    }

    /** Starts a pooler under a name, and ends an earlier incarnation of that name. */
    public Membership join(String name, long incarnation, Membership.Listener listener) {
        Member before = present.get(name);
        if (before != null) {
            end(before);
        }
        Member member = new Member(new Peer(name, incarnation), listener);
        if (!configuredNames.contains(name)) {
            scheduler.after(0, () -> member.deliver(() -> listener.onJoinFailed(name + " is not named")));
            return member;
        }
        present.put(name, member);
        regroupIn(usualDelayUs);
        return member;
    }

    /**
     * A member's access to the replicated log. Committed entries outlast every incarnation, as if all poolers
     * kept their folders.
     *
     * @param listener notified of all committed entries, those so far included
     */
    public ReplicatedLog log(Membership membership, ReplicatedLog.Listener listener) {
        Member member = (Member) membership;
        member.logListener = listener;
        catchUp(member);
        return (entry, outcome) -> propose(member, entry, outcome);
    }

    private void propose(Member member, byte[] entry, ReplicatedLog.ProposalListener outcome) {
        ReplicatedLog.checkSize(entry);
        byte[] copy = entry.clone();
        long deadlineUs = scheduler.now() + PROPOSAL_TIMEOUT_US;
        scheduler.after(2 * usualDelayUs, () -> attempt(member, copy, outcome, deadlineUs));
    }

    /** Retries until a majority can commit the entry; the outcome may be lost on the way back. */
    private void attempt(Member member, byte[] entry, ReplicatedLog.ProposalListener outcome, long deadlineUs) {
        if (member.gone) {
            return;
        }
        if (scheduler.now() >= deadlineUs) {
            member.deliver(() -> outcome.onUnknown("no majority"));
        } else if (member.paused || !reachesMajority(member)) {
            scheduler.after(RETRY_INTERVAL_US, () -> attempt(member, entry, outcome, deadlineUs));
        } else {
            committedEntries.add(entry);
            long number = committedEntries.size();
            present.values().forEach(this::catchUp);
            scheduler.after(2 * usualDelayUs, () -> {
                if (reachesMajority(member)) {
                    member.deliver(() -> outcome.onCommitted(number));
                } else {
                    scheduler.after(
                            PROPOSAL_TIMEOUT_US, () -> member.deliver(() -> outcome.onUnknown("the answer was lost")));
                }
            });
        }
    }

    /** Whether a member reaches a majority of the configured ones, itself included; a paused one reaches no other. */
    private boolean reachesMajority(Member member) {
        long reached = present.values().stream()
                .filter(other ->
                        other == member || (!other.paused && !member.paused && bothDirectionsOpen(other, member)))
                .count();
        return reached > configuredNames.size() / 2;
    }

    private boolean bothDirectionsOpen(Member one, Member other) {
        return !cutsSinceUs.containsKey(List.of(one.self.name(), other.self.name()))
                && !cutsSinceUs.containsKey(List.of(other.self.name(), one.self.name()));
    }

    /** Delivers the committed entries to a member once it reaches a majority, for which it polls. */
    private void catchUp(Member member) {
        if (member.logListener == null || member.catchUpPending) {
            return;
        }
        member.catchUpPending = true;
        scheduler.after(usualDelayUs, () -> {
            member.catchUpPending = false;
            if (member.gone) {
                return;
            }
            if (member.paused || !reachesMajority(member)) {
                member.catchUpPending = true;
                scheduler.after(RETRY_INTERVAL_US, () -> {
                    member.catchUpPending = false;
                    catchUp(member);
                });
                return;
            }
            member.lastDeliveredNumber =
                    Math.max(member.lastDeliveredNumber, committedEntries.size() - ReplicatedLog.RETAINED_ENTRIES);
            while (member.lastDeliveredNumber < committedEntries.size()) {
                long number = ++member.lastDeliveredNumber;
                member.deliver(() -> member.logListener.onCommitted(number, committedEntries.get((int) number - 1)));
            }
        });
    }

    /** Kills a member's process, which does not leave first. */
    public void kill(String name) {
        end(present.get(name));
        regroup();
    }

    private void end(Member member) {
        member.gone = true;
        present.remove(member.self.name(), member);
    }

    /** Cuts or restores the link from one member to another, in this direction alone. */
    public void cut(String from, String to, boolean isCut) {
        List<String> direction = List.of(from, to);
        if (isCut
                ? cutsSinceUs.putIfAbsent(direction, scheduler.now()) == null
                : cutsSinceUs.remove(direction) != null) {
            regroup();
        }
    }

    /** Adds a delay, in microseconds, to each message from one member to another; 0 for none. */
    public void delay(String from, String to, long us) {
        delays.put(List.of(from, to), us);
    }

    /** Pauses or resumes a member's process; once resumed, it gets the events that came meanwhile. */
    public void pause(String name, boolean isPaused) {
        Member member = present.get(name);
        member.paused = isPaused;
        member.pausedAtUs = scheduler.now();
        while (!isPaused && !member.paused && !member.missedEvents.isEmpty()) {
            member.missedEvents.poll().run();
        }
        regroup();
    }

    private void carry(Member from, Peer to, byte[] message) {
        Member member = present.get(to.name());
        List<String> direction = List.of(from.self.name(), to.name());
        if (member == null || !member.self.equals(to) || cutsSinceUs.containsKey(direction)) {
            return;
        }
        long extraUs = delays.getOrDefault(direction, 0L);
        long atUs = Math.max(scheduler.now() + usualDelayUs + extraUs, lastArrivals.getOrDefault(direction, 0L));
        lastArrivals.put(direction, atUs);
        byte[] copy = message.clone();
        scheduler.after(atUs - scheduler.now(), () -> {
            if (!cutsSinceUs.containsKey(direction)) {
                member.deliver(() -> member.listener.onMessage(from.self, copy));
            }
        });
    }

    /** Changes the views once the silence timeout and a random time have passed. */
    private void regroup() {
        regroupIn(silenceTimeoutUs + random.nextLong(MAX_VIEW_SPREAD_US));
    }

    private void regroupIn(long us) {
        scheduler.after(us, this::regroupNow);
    }

    private boolean inTouch(Member one, Member other) {
        return !silent(cutsSinceUs.get(List.of(one.self.name(), other.self.name())))
                && !silent(cutsSinceUs.get(List.of(other.self.name(), one.self.name())));
    }

    private boolean silent(Long sinceUs) {
        return sinceUs != null && scheduler.now() - sinceUs >= silenceTimeoutUs;
    }

    private void regroupNow() {
        List<List<Member>> partitions = new ArrayList<>();
        for (Member member : present.values()) {
            if (member.paused && silent(member.pausedAtUs)) {
                continue; // It keeps its view until it resumes; the others remove it from theirs.
            }
            List<Member> own = partitions.stream()
                    .filter(partition -> partition.stream().allMatch(other -> inTouch(other, member)))
                    .findFirst()
                    .orElseGet(() -> {
                        List<Member> partition = new ArrayList<>();
                        partitions.add(partition);
                        return partition;
                    });
            own.add(member);
        }
        partitions.forEach(this::install);
    }

    @SuppressWarnings("ReferenceEquality") // NONE is a null object: there is one of it.
    private void install(List<Member> partition) {
        List<Peer> peers = partition.stream().map(member -> member.self).toList();
        if (partition.stream().allMatch(member -> member.latestView.members().equals(peers))) {
            return;
        }
        long number = 1
                + partition.stream()
                        .mapToLong(member -> member.latestView.number())
                        .max()
                        .orElse(0);
        boolean merged = partition.stream()
                        .filter(member -> member.latestView != MembershipView.NONE)
                        .map(member -> member.latestView.members())
                        .distinct()
                        .count()
                > 1;
        MembershipView next = new MembershipView(number, peers, merged);
        for (Member member : partition) {
            member.latestView = next;
            member.deliver(() -> member.adopt(next));
        }
    }
}
