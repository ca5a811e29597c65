package frostreel.cluster;

import java.util.List;

/**
 * Who is in the group, as one member knows it. Numbers only grow at a member; members of one part of a split
 * group share number and list. {@code merged} says that parts that lived apart are one again.
 */
public record View(long number, List<Peer> members, boolean merged) {
    /** Before the first view. */
    public static final View NONE = new View(-1, List.of(), false);

    public View {
        members = members.stream().sorted().toList();
    }

    /** Who is here and was not in {@code before}. */
    public List<Peer> joined(View before) {
        return members.stream().filter(p -> !before.members.contains(p)).toList();
    }

    /** Who was in {@code before} and is not here. */
    public List<Peer> left(View before) {
        return before.joined(this);
    }
}
