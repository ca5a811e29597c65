package frostreel.lab.virtual;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import frostreel.lab.model.Scheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Set<String> configuredNames;
    private final long silenceTimeoutUs;
    private final long usualDelayUs;
    private final GroupLinks links;
    private final VirtualLog log;
    /** The members that have neither left nor ended, by name. */
    private final Map<String, GroupMember> present = new TreeMap<>();
    /** Peers that left gracefully, of which suspicion is not reported. */
    private final Set<Peer> gracefulLeavers = new HashSet<>();

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
        links = new GroupLinks(scheduler, delayUs);
        log = new VirtualLog(scheduler, links, delayUs, this.configuredNames.size(), present.values());
    }

    /** Starts a pooler under a name, and ends an earlier incarnation of that name. */
    public Membership join(String name, long incarnation, Membership.Listener listener) {
        GroupMember before = present.get(name);
        if (before != null) {
            end(before);
        }
        GroupMember member = new GroupMember(this, new Peer(name, incarnation), listener);
        if (!configuredNames.contains(name)) {
            scheduler.after(0, () -> member.deliverJoinFailure(name + " is not named"));
            return member;
        }
        present.put(name, member);
        changeViewsIn(usualDelayUs);
        return member;
    }

    /**
     * A member's access to the replicated log. Committed entries outlast every incarnation, as if all poolers
     * kept their folders.
     *
     * @param listener notified of all committed entries, those so far included
     */
    public ReplicatedLog log(Membership membership, ReplicatedLog.Listener listener) {
        return log.open((GroupMember) membership, listener);
    }

    /** Kills a member's process, which does not leave first. */
    public void kill(String name) {
        end(present.get(name));
        changeViewsAfterSilence();
    }

    private void end(GroupMember member) {
        member.end();
        present.remove(member.name(), member);
    }

    /** A member leaves gracefully. */
    void leave(GroupMember member) {
        gracefulLeavers.add(member.self());
        end(member);
        changeViewsIn(usualDelayUs);
    }

    boolean hasLeftGracefully(Peer peer) {
        return gracefulLeavers.contains(peer);
    }

    /** Cuts or restores the link from one member to another, in this direction alone. */
    public void cut(String from, String to, boolean isCut) {
        if (links.cut(from, to, isCut)) {
            changeViewsAfterSilence();
        }
    }

    /** Adds a delay, in microseconds, to each message from one member to another; 0 for none. */
    public void delay(String from, String to, long us) {
        links.delay(from, to, us);
    }

    /** Pauses or resumes a member's process; once resumed, it gets the events that came meanwhile. */
    public void pause(String name, boolean isPaused) {
        GroupMember member = present.get(name);
        if (isPaused) {
            member.pause(scheduler.now());
        } else {
            member.resume();
        }
        changeViewsAfterSilence();
    }

    /** Sends a message from one member to another; it is lost where the link is cut, now or at its arrival. */
    void transmit(GroupMember from, Peer to, byte[] message) {
        GroupMember receiver = present.get(to.name());
        if (receiver == null || !receiver.self().equals(to) || !links.isOpen(from.name(), to.name())) {
            return;
        }
        byte[] copy = message.clone();
        scheduler.after(links.transmissionUs(from.name(), to.name()), () -> {
            if (links.isOpen(from.name(), to.name())) {
                receiver.deliverMessage(from.self(), copy);
            }
        });
    }

    /** Changes the views once the silence timeout and a random time have passed. */
    private void changeViewsAfterSilence() {
        changeViewsIn(silenceTimeoutUs + random.nextLong(MAX_VIEW_SPREAD_US));
    }

    private void changeViewsIn(long us) {
        scheduler.after(us, () -> partitions().forEach(this::install));
    }

    /** Divides the members into partitions within which each reaches each other in both directions. */
    private List<List<GroupMember>> partitions() {
        List<List<GroupMember>> partitions = new ArrayList<>();
        for (GroupMember member : present.values()) {
            if (member.paused() && scheduler.now() - member.pausedAtUs() >= silenceTimeoutUs) {
                continue; // It keeps its view until it resumes; the others remove it from theirs.
            }
            List<GroupMember> own = partitions.stream()
                    .filter(partition -> reachesAll(member, partition))
                    .findFirst()
                    .orElseGet(() -> {
                        List<GroupMember> partition = new ArrayList<>();
                        partitions.add(partition);
                        return partition;
                    });
            own.add(member);
        }
        return partitions;
    }

    private boolean reachesAll(GroupMember member, List<GroupMember> partition) {
        return partition.stream()
                .allMatch(other -> links.areCutsShorterThan(silenceTimeoutUs, other.name(), member.name()));
    }

    /** Gives all members of a partition a view of it, unless they have it already. */
    private void install(List<GroupMember> partition) {
        List<Peer> peers = partition.stream().map(GroupMember::self).toList();
        if (partition.stream().allMatch(member -> member.latestView.members().equals(peers))) {
            return;
        }
        MembershipView next = new MembershipView(nextViewNumber(partition), peers, isMerged(partition));
        partition.forEach(member -> member.deliverView(next));
    }

    private static long nextViewNumber(List<GroupMember> partition) {
        return 1
                + partition.stream()
                        .mapToLong(member -> member.latestView.number())
                        .max()
                        .orElse(0);
    }

    /** Whether members of a partition come from different views. */
    @SuppressWarnings("ReferenceEquality") // NONE is a null object: there is one of it.
    private static boolean isMerged(List<GroupMember> partition) {
        return partition.stream()
                        .filter(member -> member.latestView != MembershipView.NONE)
                        .map(member -> member.latestView.members())
                        .distinct()
                        .count()
                > 1;
    }
}
