package frostreel.cluster;

import java.util.List;

/**
 * The members of the group as one of them knows it. In a partitioned group, the members of one partition
 * share number and members.
 *
 * @param number grows with each view of a member
 * @param members who is present, in their natural order
 * @param merged whether this view unites partitions
 */
public record MembershipView(long number, List<Peer> members, boolean merged) {
    /** What a member knows before its first view. */
    public static final MembershipView NONE = new MembershipView(-1, List.of(), false);

    /** Sorts the members. */
    public MembershipView {
        members = members.stream().sorted().toList();
    }

    /** Who is present and was not in the earlier view. */
    public List<Peer> joined(MembershipView before) {
        return members.stream().filter(peer -> !before.members.contains(peer)).toList();
    }

    /** Who was present in the earlier view and no longer is. */
    public List<Peer> left(MembershipView before) {
        return before.joined(this);
    }
}
