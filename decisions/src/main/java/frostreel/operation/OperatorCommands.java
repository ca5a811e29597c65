package frostreel.operation;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators ordered last of each thing. Two processes that serve as one each keep their own and take
 * over the other's: of two orders on the same thing the later one holds, whoever heard it, so that they end
 * in the same however they are taken over. Times are Unix microseconds of the machine's one clock.
 */
public final class OperatorCommands {
    /** Where the thing is in force, since when it is; else when it was in force last, and when it ended. */
    public record Command(boolean inForce, long sinceUs, long atUs) {
        /** Of two orders of the same moment the one in force holds: it is the more careful one. */
        boolean after(Command other) {
            return other == null || atUs > other.atUs || atUs == other.atUs && inForce && !other.inForce;
        }
    }

    private final Map<String, Command> orders = new TreeMap<>();

    /** Gives an order; whether anything changed by it. */
    public boolean give(long nowUs, String thing, boolean inForce) {
        Command before = orders.get(thing);
        if (before == null ? !inForce : before.inForce() == inForce) {
            return false;
        }
        long atUs = before == null ? nowUs : Math.max(nowUs, before.atUs() + 1); // A clock may stand still.
        orders.put(thing, new Command(inForce, inForce ? atUs : before.sinceUs(), atUs));
        return true;
    }

    /** Takes over what another process heard; whether it held anything later than what is known here. */
    public boolean take(String thing, Command order) {
        boolean later = order.after(orders.get(thing));
        if (later) {
            orders.put(thing, order);
        }
        return later;
    }

    /** The last order on a thing, null where there was none. */
    public Command of(String thing) {
        return orders.get(thing);
    }

    public boolean inForce(String thing) {
        Command order = orders.get(thing);
        return order != null && order.inForce();
    }

    /** All of them, by thing. */
    public Map<String, Command> all() {
        return Collections.unmodifiableMap(orders);
    }
}
