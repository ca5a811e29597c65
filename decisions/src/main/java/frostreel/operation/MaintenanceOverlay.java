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
    private static final int GONE_KEPT = 256;
    /** Orders on servers have names of their own, beside those on other things. */
    private static final String SERVER = "server ";

    private final OperatorCommands orders;
    private final Map<String, Router.Member> told = new HashMap<>();
    private final Set<String> gone = new LinkedHashSet<>();

    public MaintenanceOverlay(OperatorCommands orders) {
        this.orders = orders;
    }

    /** Takes a list of discovery's, whole or changes; what is to be passed on instead, in its order. */
    public List<Router.Member> told(boolean whole, List<Router.Member> members) {
        if (whole) {
            Set<String> unlisted = new HashSet<>(told.keySet());
            members.forEach(m -> unlisted.remove(m.id()));
            unlisted.forEach(id ->
                    keep(with(told.get(id), Router.State.GONE, told.get(id).startedUs())));
        }
        List<Router.Member> shown = new ArrayList<>(members.size());
        for (Router.Member m : members) {
            keep(m);
            shown.add(show(m));
        }
        return shown;
    }

    private void keep(Router.Member m) {
        told.put(m.id(), m);
        gone.remove(m.id());
        if (m.state() == Router.State.GONE) {
            gone.add(m.id());
            if (gone.size() > GONE_KEPT) {
                String oldest = gone.iterator().next();
                gone.remove(oldest);
                told.remove(oldest);
            }
        }
    }

    /** The thing that an order on a server is on. */
    public static String thing(String id) {
        return SERVER + id;
    }

    /** Whether discovery has named a server of that id, or an order has. */
    public boolean knows(String id) {
        return told.containsKey(id) || orders.of(thing(id)) != null;
    }

    /** What is to be passed on of a server now, null where discovery has not named it. */
    public Router.Member shown(String id) {
        Router.Member m = told.get(id);
        return m == null ? null : show(m);
    }

    /** The ids of the servers taken out. */
    public List<String> out() {
        return orders.all().keySet().stream()
                .filter(t -> t.startsWith(SERVER) && orders.inForce(t))
                .map(MaintenanceOverlay::id)
                .toList();
    }

    /** The id of the server that an order is on, null where it is on none. */
    public static String id(String thing) {
        return thing.startsWith(SERVER) ? thing.substring(SERVER.length()) : null;
    }

    /**
     * Operators restart a server that is out, and discovery may tell of it seconds after the call back: until
     * it tells of a start since the server was taken out, the call back counts as one.
     */
    private Router.Member show(Router.Member m) {
        OperatorCommands.Command order = orders.of(thing(m.id()));
        if (order == null) {
            return m;
        }
        if (order.inForce()) {
            return m.state() == Router.State.GONE ? m : with(m, Router.State.DRAINING, m.startedUs());
        }
        return with(m, m.state(), m.startedUs() >= order.sinceUs() ? m.startedUs() : order.atUs());
    }

    private static Router.Member with(Router.Member m, Router.State state, long startedUs) {
        return new Router.Member(m.id(), m.zone(), m.kind(), m.group(), m.primary(), state, m.weight(), startedUs);
    }
}
