package frostreel.routing;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Members and replica groups that the endpoint list has named. */
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

    /** The member with this id, or null. */
    MemberState member(String id) {
        return members.get(id);
    }

    /** The group with this number, created without members if it is new. */
    GroupState group(int number) {
        GroupState group = groups.get(number);
        if (group == null) {
            group = new GroupState(number, loadShedder.newGoodput());
            groups.put(number, group);
        }
        return group;
    }

    /**
     * Applies an endpoint list update.
     *
     * @param initial whether it is the first, whose members count as verified
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
            removeGoneMembers(nowUs, group);
            if (group.primary != null && !group.primary.isUsable(settings.rules())) {
                primaryTracker.clearPrimary(group);
            }
        }
    }

    private void removeGoneMembers(long nowUs, GroupState group) {
        group.chain.forEach(member -> member.recordPresence(nowUs));
        group.chain.removeIf(
                member -> member.isRemovable(nowUs, settings.rules(), freshness.retentionUs()) && remove(member));
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
        member.wasDraining |= entry.state() == State.DRAINING;
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

    /** Removes a member; returns whether it was known. */
    private boolean remove(MemberState member) {
        localityPolicy.onMemberRemoved(member.localityHandle);
        slowStart.forget(member.slowStart);
        return members.remove(member.id, member);
    }
}
