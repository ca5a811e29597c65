package frostreel.operation;

/**
 * The state that the last command on a target left it in. Times are Unix microseconds of the machine's shared
 * clock.
 *
 * @param inForce whether the command is in force, or was revoked
 * @param inForceSinceUs when it came into force, for a revoked one the last time that it did
 * @param changedAtUs when it came into force or was revoked, whichever is later
 */
public record CommandState(boolean inForce, long inForceSinceUs, long changedAtUs) {
    /** Whether this replaces the other; of two changes at one instant the one in force does, as the safer one. */
    boolean supersedes(CommandState other) {
        if (changedAtUs != other.changedAtUs) {
            return changedAtUs > other.changedAtUs;
        }
        return inForce && !other.inForce;
    }
}
