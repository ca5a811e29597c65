package frostreel.operation;

import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Lays the operators' word on servers over discovery's. What goes on to the decisions and to the connections
 * has a server taken out as draining, whatever discovery says meanwhile; the call back passes discovery's
 * last word on again. Owns discovery's last word on each server; the orders are handed in.
 */
public final class MaintenanceOverlay {
    /** So many servers that are gone are still known by name: their orders come late, or they come back. */
    private static final int MAX_DEPARTED = 256;
    /** Orders on servers have names of their own, beside those on other things. */
    private static final String SERVER_PREFIX = "server ";

    private final OperatorCommands commands;
    private final Map<String, Router.Member> listed = new HashMap<>();
    private final Set<String> departed = new LinkedHashSet<>();

    public MaintenanceOverlay(OperatorCommands commands) {
        this.commands = commands;
    }

    /** Takes a list of discovery's, whole or changes; what is to be passed on instead, in its order. */
    public List<Router.Member> apply(boolean complete, List<Router.Member> members) {
        if (complete) {
            Set<String> unlisted = new HashSet<>(listed.keySet());
            members.forEach(member -> unlisted.remove(member.id()));
            unlisted.forEach(id ->
                    remember(with(listed.get(id), Router.State.GONE, listed.get(id).startedUs())));
        }
        List<Router.Member> effective = new ArrayList<>(members.size());
        for (Router.Member member : members) {
            remember(member);
            effective.add(effective(member));
        }
        return effective;
    }

    private void remember(Router.Member member) {
        listed.put(member.id(), member);
        departed.remove(member.id());
        if (member.state() == Router.State.GONE) {
            departed.add(member.id());
            if (departed.size() > MAX_DEPARTED) {
                String oldest = departed.iterator().next();
                departed.remove(oldest);
                listed.remove(oldest);
            }
        }
    }

    /** The target that an order on a server is on. */
    public static String target(String id) {
        return SERVER_PREFIX + id;
    }

    /** Whether discovery has named a server of that id, or an order has. */
    public boolean knows(String id) {
        return listed.containsKey(id) || commands.latest(target(id)) != null;
    }

    /** What is to be passed on of a server now, null where discovery has not named it. */
    public Router.Member effective(String id) {
        Router.Member member = listed.get(id);
        return member == null ? null : effective(member);
    }

    /** The ids of the servers taken out. */
    public List<String> outOfService() {
        return commands.all().keySet().stream()
                .filter(target -> target.startsWith(SERVER_PREFIX) && commands.isInForce(target))
                .map(MaintenanceOverlay::serverId)
                .toList();
    }

    /** The id of the server that an order is on, null where it is on none. */
    public static String serverId(String target) {
        return target.startsWith(SERVER_PREFIX) ? target.substring(SERVER_PREFIX.length()) : null;
    }

    /**
     * Operators restart a server that is out, and discovery may tell of it seconds after the call back: until
     * it tells of a start since the server was taken out, the call back counts as one.
     */
    private Router.Member effective(Router.Member member) {
        OperatorCommands.CommandState state = commands.latest(target(member.id()));
        if (state == null) {
            return member;
        }
        if (state.inForce()) {
            return member.state() == Router.State.GONE ? member : with(member, Router.State.DRAINING, member.startedUs());
        }
        return with(member, member.state(), member.startedUs() >= state.inForceSinceUs() ? member.startedUs() : state.changedAtUs());
    }

    private static Router.Member with(Router.Member member, Router.State state, long startedUs) {
        return new Router.Member(member.id(), member.zone(), member.kind(), member.group(), member.primary(), state, member.weight(), startedUs);
    }
}
