package frostreel.operation;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators ordered last of each target. Two processes that serve as one each keep their own and take
 * over the other's: of two orders on the same target the later one holds, whoever heard it, so that they end
 * in the same however they are taken over. Times are Unix microseconds of the machine's one clock.
 */
public final class OperatorCommands {
    /** Where the target is in force, since when it is; else when it was in force last, and when it ended. */
    public record CommandState(boolean inForce, long inForceSinceUs, long changedAtUs) {
        /** Of two commands of the same moment the one in force holds: it is the more careful one. */
        boolean supersedes(CommandState other) {
            return other == null || changedAtUs > other.changedAtUs || changedAtUs == other.changedAtUs && inForce && !other.inForce;
        }
    }

    private final Map<String, CommandState> commands = new TreeMap<>();

    /** Gives an order; whether anything changed by it. */
    public boolean issue(long nowUs, String target, boolean inForce) {
        CommandState previous = commands.get(target);
        if (previous == null ? !inForce : previous.inForce() == inForce) {
            return false;
        }
        long changedAtUs = previous == null ? nowUs : Math.max(nowUs, previous.changedAtUs() + 1); // A clock may stand still.
        commands.put(target, new CommandState(inForce, inForce ? changedAtUs : previous.inForceSinceUs(), changedAtUs));
        return true;
    }

    /** Takes over what another process heard; whether it held anything later than what is known here. */
    public boolean merge(String target, CommandState state) {
        boolean supersedes = state.supersedes(commands.get(target));
        if (supersedes) {
            commands.put(target, state);
        }
        return supersedes;
    }

    /** The last order on a target, null where there was none. */
    public CommandState latest(String target) {
        return commands.get(target);
    }

    public boolean isInForce(String target) {
        CommandState state = commands.get(target);
        return state != null && state.inForce();
    }

    /** All of them, by target. */
    public Map<String, CommandState> all() {
        return Collections.unmodifiableMap(commands);
    }
}
