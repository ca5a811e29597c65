package frostreel.operation;

import java.util.Optional;

/**
 * Target of an operator command: one server, or all clients.
 *
 * <p>Commands stored by another version of this program may have targets of an unknown kind. They are kept under
 * their key for later versions, and have no effect.
 *
 * @param key the name under which commands on the target are stored
 */
public record CommandTarget(String key) implements Comparable<CommandTarget> {
    /** All clients of this process; while a command on them is in force, they are asked to disconnect. */
    public static final CommandTarget CLIENTS = new CommandTarget("clients");

    private static final String SERVER_PREFIX = "server ";

    /** The server with this id; while a command on it is in force, the server is out of service. */
    public static CommandTarget server(String serverId) {
        return new CommandTarget(SERVER_PREFIX + serverId);
    }

    /** The id of the targeted server; empty if the target is not a server. */
    public Optional<String> serverId() {
        return key.startsWith(SERVER_PREFIX) ? Optional.of(key.substring(SERVER_PREFIX.length())) : Optional.empty();
    }

    // equals and hashCode are written out because the generated ones link method handles on first use, which costs
    // CPU time during startup, when commands are restored.
    @Override
    public boolean equals(Object other) {
        return other instanceof CommandTarget target && key.equals(target.key);
    }

    @Override
    public int hashCode() {
        return key.hashCode();
    }

    @Override
    public int compareTo(CommandTarget other) {
        return key.compareTo(other.key);
    }

    @Override
    public String toString() {
        return key;
    }
}
