package frostreel.operation;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest operator command on each target.
 *
 * <p>Each process of a pooler keeps its own copy and merges those of the other processes. For each target the latest
 * change wins, whichever process recorded it, so all copies converge regardless of the merge order. Times are Unix
 * microseconds on the machine's clock, which all processes share. Not thread-safe.
 */
public final class OperatorCommands {
    private final Map<CommandTarget, CommandState> commands = new TreeMap<>();

    /**
     * Records a command on the target.
     *
     * @return whether the state changed; false if a command was already in force
     */
    public boolean issue(long nowUs, CommandTarget target) {
        if (isInForce(target)) {
            return false;
        }
        CommandState previous = commands.get(target);
        long issuedAtUs = previous == null ? nowUs : timeOfChangeUs(nowUs, previous);
        commands.put(target, CommandState.issued(issuedAtUs));
        return true;
    }

    /**
     * Records that the command on the target was revoked.
     *
     * @return whether the state changed; false if no command was in force
     */
    public boolean revoke(long nowUs, CommandTarget target) {
        if (!isInForce(target)) {
            return false;
        }
        CommandState previous = commands.get(target);
        commands.put(target, CommandState.revoked(previous.inForceSinceUs(), timeOfChangeUs(nowUs, previous)));
        return true;
    }

    /** A time later than the previous change, even if the clock has not advanced since. */
    private static long timeOfChangeUs(long nowUs, CommandState previous) {
        return Math.max(nowUs, previous.changedAtUs() + 1);
    }

    /**
     * Merges a state that another process recorded.
     *
     * @return whether it superseded the state recorded here
     */
    public boolean merge(CommandTarget target, CommandState recorded) {
        CommandState known = commands.get(target);
        if (known != null && !recorded.supersedes(known)) {
            return false;
        }
        commands.put(target, recorded);
        return true;
    }

    /** State of the latest command on the target; empty if there was none. */
    public Optional<CommandState> latest(CommandTarget target) {
        return Optional.ofNullable(commands.get(target));
    }

    /** Whether a command on the target is in force. */
    public boolean isInForce(CommandTarget target) {
        CommandState state = commands.get(target);
        return state != null && state.inForce();
    }

    /** A read-only view of all commands, ordered by target key. */
    public Map<CommandTarget, CommandState> all() {
        return Collections.unmodifiableMap(commands);
    }
}
