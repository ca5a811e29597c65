package frostreel.cluster;

import java.util.List;

/**
 * Who is in the group, as one member knows it. Numbers only grow at a member; members of one part of a split
 * group share number and list. {@code merged} says that parts that lived apart are one again.
 */
public record MembershipView(long number, List<Peer> members, boolean merged) {
    /** Before the first view. */
    public static final MembershipView NONE = new MembershipView(-1, List.of(), false);

    public MembershipView {
        members = members.stream().sorted().toList();
    }

    /** Who is here and was not in {@code before}. */
    public List<Peer> joined(MembershipView before) {
        return members.stream().filter(p -> !before.members.contains(p)).toList();
    }

    /** Who was in {@code before} and is not here. */
    public List<Peer> left(MembershipView before) {
        return before.joined(this);
    }
}
