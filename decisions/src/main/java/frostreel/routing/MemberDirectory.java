package frostreel.routing;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The members and groups that the endpoint list has named. */
final class MemberDirectory {
    private final SlowStart slowStart;
    private final LocalityPolicy localityPolicy;
    private final PrimaryTracker primaryTracker;
    private final LoadShedder loadShedder;
    private final Freshness freshness;
    private final ActiveSettings settings;
    private final Map<String, MemberState> members = new HashMap<>();
    private final Map<Integer, GroupState> groups = new TreeMap<>();

    MemberDirectory(RoutingComponents components) {
        settings = components.settings;
        slowStart = components.slowStart;
        localityPolicy = components.localityPolicy;
        primaryTracker = components.primaryTracker;
        loadShedder = components.loadShedder;
        freshness = components.freshness;
    }

    /** The member of that id, null if there is none. */
    MemberState member(String id) {
        return members.get(id);
    }

    /** The group of that number, which may have no members yet. */
    GroupState group(int number) {
        GroupState group = groups.get(number);
        if (group == null) {
            group = new GroupState(number, loadShedder.newGoodput());
            groups.put(number, group);
        }
        return group;
    }

    /**
     * Takes in an endpoint list, or changes to it.
     *
     * @param initial whether it is the first: its members count as verified
     */
    void update(long nowUs, ListKind kind, List<Member> entries, boolean initial) {
        if (kind != ListKind.CHANGES) {
            members.values().forEach(member -> member.state = State.GONE);
        }
        for (Member entry : entries) {
            apply(nowUs, entry, initial);
        }
        members.values().forEach(member -> slowStart.setUsable(member.slowStart, member.isUsable(settings.rules())));
        for (GroupState group : groups.values()) {
            forgetGone(nowUs, group);
            if (group.primary != null && !group.primary.isUsable(settings.rules())) {
                primaryTracker.clearPrimary(group);
            }
        }
    }

    private void forgetGone(long nowUs, GroupState group) {
        group.chain.forEach(member -> member.recordPresence(nowUs));
        group.chain.removeIf(
                member -> member.isForgettable(nowUs, settings.rules(), freshness.retentionUs()) && forget(member));
    }

    private void apply(long nowUs, Member entry, boolean initial) {
        MemberState member = members.get(entry.id());
        if (member == null) {
            member = add(nowUs, entry, initial);
        }
        boolean restarted = slowStart.recordListEntry(nowUs, member.slowStart, entry);
        if (restarted) {
            member.outliers.reset();
        }
        member.zone = entry.zone();
        member.weight = entry.weight();
        member.state = entry.state();
        member.drained |= entry.state() == State.DRAINING;
        if (entry.primary() && member.isUsable(settings.rules())) {
            primaryTracker.recordListedPrimary(group(member.groupNumber), member);
        }
    }

    private MemberState add(long nowUs, Member entry, boolean initial) {
        GroupState group = group(entry.group());
        SlowStart.MemberBudget slowStartState = slowStart.register(nowUs);
        int localityHandle = localityPolicy.onMemberAdded(entry.group(), entry.zone());
        MemberState member = new MemberState(entry.id(), group.number, slowStartState, localityHandle, nowUs);
        member.verified = initial;
        members.put(member.id, member);
        group.insert(member);
        return member;
    }

    /** Forgets a member; whether it was known. */
    private boolean forget(MemberState member) {
        localityPolicy.onMemberRemoved(member.localityHandle);
        slowStart.forget(member.slowStart);
        return members.remove(member.id, member);
    }
}
