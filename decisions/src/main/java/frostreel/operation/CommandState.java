package frostreel.operation;

/**
 * State of the latest operator command on a target. Times are Unix microseconds on the machine's clock, which all
 * processes share.
 *
 * @param inForce true after the command was issued, false after it was revoked
 * @param inForceSinceUs when the command last came into force
 * @param changedAtUs when the command was last issued or revoked
 */
public record CommandState(boolean inForce, long inForceSinceUs, long changedAtUs) {
    /** State of a command that came into force at {@code atUs}. */
    public static CommandState issued(long atUs) {
        return new CommandState(true, atUs, atUs);
    }

    /** State of a command that came into force at {@code inForceSinceUs} and was revoked at {@code revokedAtUs}. */
    public static CommandState revoked(long inForceSinceUs, long revokedAtUs) {
        return new CommandState(false, inForceSinceUs, revokedAtUs);
    }

    /**
     * Whether this state replaces the other one. The later change wins. If both changed at the same time, the command
     * in force wins: keeping a server or the clients out for too long is safer than admitting them by mistake.
     */
    boolean supersedes(CommandState other) {
        if (changedAtUs != other.changedAtUs) {
            return changedAtUs > other.changedAtUs;
        }
        return inForce && !other.inForce;
    }
}
