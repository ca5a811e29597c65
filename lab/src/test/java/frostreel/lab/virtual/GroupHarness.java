package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.model.VirtualTime;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** A {@link VirtualGroup} in virtual time whose members, {@code p000} and so on, have all joined. */
final class GroupHarness {
    static final long SILENCE_TIMEOUT_US = 2_000_000;
    /** After a change of members or links, all views have changed by then. */
    static final long SETTLE_US = 3_000_000;

    private static final long MESSAGE_DELAY_US = 1_000;

    final VirtualGroup group;
    private final VirtualTime time = new VirtualTime(1_000_000_000);
    private final int count;
    private final Map<String, RecordingMember> members = new TreeMap<>();

    GroupHarness(int count, long seed) {
        this.count = count;
        Set<String> names = new TreeSet<>();
        IntStream.range(0, count).forEach(index -> names.add(name(index)));
        group = new VirtualGroup(time, new SplittableRandom(seed), names, SILENCE_TIMEOUT_US, MESSAGE_DELAY_US);
        names.forEach(name -> join(name, 1));
        run(SETTLE_US);
        members.values().forEach(member -> assertThat(member.viewMembers()).containsExactlyElementsOf(names));
    }

    static String name(int index) {
        return String.format("p%03d", index);
    }

    /** Starts an incarnation, which takes the place of the one before under that name. */
    RecordingMember join(String name, long incarnation) {
        RecordingMember member = new RecordingMember(group, name, incarnation);
        members.put(name, member);
        return member;
    }

    RecordingMember member(String name) {
        return members.get(name);
    }

    /** The newest incarnation of each name. */
    Collection<RecordingMember> members() {
        return members.values();
    }

    void run(long us) {
        time.runUntil(time.now() + us);
    }

    /** Cuts or restores all links, in both directions, between the first members and the others. */
    void partition(int first, boolean isCut) {
        for (int one = 0; one < first; one++) {
            for (int other = first; other < count; other++) {
                group.cut(name(one), name(other), isCut);
                group.cut(name(other), name(one), isCut);
            }
        }
    }

    /** Resumes all members and restores all links. */
    void endFaults() {
        for (int one = 0; one < count; one++) {
            group.pause(name(one), false);
            for (int other = 0; other < count; other++) {
                group.cut(name(one), name(other), false);
            }
        }
    }
}
