package frostreel.operation;

import java.util.Optional;

/**
 * What an operator's command is about: one server, or all clients.
 *
 * <p>Commands that another version of this program stored may have targets of a kind unknown here. They are
 * kept under their key, so that a later version finds them, and have no effect.
 *
 * @param key the name under which commands on the target are stored
 */
public record CommandTarget(String key) implements Comparable<CommandTarget> {
    /** All clients of this process: in force while they are asked to leave. */
    public static final CommandTarget CLIENTS = new CommandTarget("clients");

    private static final String SERVER_PREFIX = "server ";

    /** The server of that id: in force while it is out of service. */
    public static CommandTarget server(String serverId) {
        return new CommandTarget(SERVER_PREFIX + serverId);
    }

    /** The id of the server that this is about, empty if it is about something else. */
    public Optional<String> serverId() {
        return key.startsWith(SERVER_PREFIX) ? Optional.of(key.substring(SERVER_PREFIX.length())) : Optional.empty();
    }

    // Written out: what the compiler generates for records links method handles at its first use, and commands
    // are restored during a start, which has little CPU time.
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
