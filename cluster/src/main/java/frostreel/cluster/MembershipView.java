package frostreel.cluster;

import java.util.List;

/**
 * The members of the cluster as one member sees them. In a partitioned cluster, the members of one partition have the
 * same view.
 *
 * @param number increases with each view of a member
 * @param members the present members, in their natural order
 * @param merged whether this view merges partitions
 */
public record MembershipView(long number, List<Peer> members, boolean merged) {
    /** The view of a member that has not joined yet. */
    public static final MembershipView NONE = new MembershipView(-1, List.of(), false);

    /** Sorts the members. */
    public MembershipView {
        members = members.stream().sorted().toList();
    }

    /** Members that are missing from the previous view. */
    public List<Peer> joined(MembershipView previous) {
        return members.stream().filter(peer -> !previous.members.contains(peer)).toList();
    }

    /** Members of the previous view that are missing from this one. */
    public List<Peer> left(MembershipView previous) {
        return previous.joined(this);
    }
}
