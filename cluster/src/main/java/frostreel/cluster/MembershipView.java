package frostreel.cluster;

import java.util.List;

/**
 * The members of the group as one member knows them. In a partitioned group, the members of one partition
 * have the same view.
 *
 * @param number grows with each view of a member
 * @param members those present, in their natural order
 * @param merged whether this view unites partitions
 */
public record MembershipView(long number, List<Peer> members, boolean merged) {
    /** The view of a member that has not joined yet. */
    public static final MembershipView NONE = new MembershipView(-1, List.of(), false);

    /** Sorts the members. */
    public MembershipView {
        members = members.stream().sorted().toList();
    }

    /** The members that the earlier view lacks. */
    public List<Peer> joined(MembershipView previous) {
        return members.stream().filter(peer -> !previous.members.contains(peer)).toList();
    }

    /** The members of the earlier view that this one lacks. */
    public List<Peer> left(MembershipView previous) {
        return previous.joined(this);
    }
}
