package frostreel.operation;

/**
 * The state in which the last command on a target left it. Times are Unix microseconds of the machine's shared
 * clock.
 *
 * @param inForce whether the command is in force, or was revoked
 * @param inForceSinceUs when it last came into force
 * @param changedAtUs when it last came into force or was revoked
 */
public record CommandState(boolean inForce, long inForceSinceUs, long changedAtUs) {
    /** A command that came into force at that time. */
    public static CommandState issued(long atUs) {
        return new CommandState(true, atUs, atUs);
    }

    /** A command that came into force at the first time and was revoked at the second. */
    public static CommandState revoked(long inForceSinceUs, long revokedAtUs) {
        return new CommandState(false, inForceSinceUs, revokedAtUs);
    }

    /**
     * Whether this state replaces the other. The later change wins; of two changes at the same time the command
     * in force does, as it is safer to keep a server or the clients out than to let them in.
     */
    boolean supersedes(CommandState other) {
        if (changedAtUs != other.changedAtUs) {
            return changedAtUs > other.changedAtUs;
        }
        return inForce && !other.inForce;
    }
}
