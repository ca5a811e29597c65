package frostreel.operation;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The operators' commands: for each target the state that the last command left it in.
 *
 * <p>Each process of one pooler keeps a copy of its own and merges those of the others. The last change of a
 * target wins, whichever process recorded it, so that all copies converge in whatever order they are merged.
 * Times are Unix microseconds of the machine's shared clock. Not thread-safe.
 */
public final class OperatorCommands {
    private final Map<CommandTarget, CommandState> commands = new TreeMap<>();

    /**
     * Records that this process was given a command on the target.
     *
     * @return whether it changed anything; a command that is in force already does not
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
     * Records that the command on the target was revoked through this process.
     *
     * @return whether it changed anything; revoking a command that is not in force does not
     */
    public boolean revoke(long nowUs, CommandTarget target) {
        if (!isInForce(target)) {
            return false;
        }
        CommandState previous = commands.get(target);
        commands.put(target, CommandState.revoked(previous.inForceSinceUs(), timeOfChangeUs(nowUs, previous)));
        return true;
    }

    /** Later than the previous change, also if the clock has not advanced since. */
    private static long timeOfChangeUs(long nowUs, CommandState previous) {
        return Math.max(nowUs, previous.changedAtUs() + 1);
    }

    /**
     * Merges what another process recorded.
     *
     * @return whether it supersedes what was known here
     */
    public boolean merge(CommandTarget target, CommandState recorded) {
        CommandState known = commands.get(target);
        if (known != null && !recorded.supersedes(known)) {
            return false;
        }
        commands.put(target, recorded);
        return true;
    }

    /** The state that the last command left the target in, empty if there was none. */
    public Optional<CommandState> latest(CommandTarget target) {
        return Optional.ofNullable(commands.get(target));
    }

    /** Whether a command on the target is in force. */
    public boolean isInForce(CommandTarget target) {
        CommandState state = commands.get(target);
        return state != null && state.inForce();
    }

    /** A read-only view of all commands, ordered by their targets' keys. */
    public Map<CommandTarget, CommandState> all() {
        return Collections.unmodifiableMap(commands);
    }
}
