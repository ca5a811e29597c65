package frostreel.cluster;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The configured members of a group. Messages from any other sender are ignored.
 *
 * @param clusterName the group's name; poolers of other groups are ignored
 * @param self this pooler's name, one of {@code members}
 * @param bind where this pooler listens for the other members; no wildcard
 * @param members the advertised address of each by name, at which the others reach it; may differ from the
 *     address that it binds
 * @param silentAfterMs a member without a heartbeat for this time is suspected; 500 to 60,000
 */
public record ClusterSettings(
        String clusterName,
        String self,
        InetSocketAddress bind,
        Map<String, InetSocketAddress> members,
        long silentAfterMs) {
    private static final long MIN_SILENT_MS = 500;
    private static final long MAX_SILENT_MS = 60_000;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException with a message for operators
     */
    public ClusterSettings {
        members = new TreeMap<>(members);
        require(!clusterName.isBlank(), "the group has no name");
        require(members.containsKey(self), "the members do not name this pooler, " + self);
        require(!bind.isUnresolved(), "unknown address " + bind);
        require(!bind.getAddress().isAnyLocalAddress(), "bind to one address, not to all: " + bind);
        require(
                silentAfterMs >= MIN_SILENT_MS && silentAfterMs <= MAX_SILENT_MS,
                "silentAfterMs is " + silentAfterMs + ", " + MIN_SILENT_MS + " to " + MAX_SILENT_MS);
        Set<InetSocketAddress> taken = new HashSet<>();
        members.forEach((name, address) -> {
            require(!address.isUnresolved() && address.getPort() > 0, "unknown address " + address + " of " + name);
            require(!address.getAddress().isAnyLocalAddress(), name + " has no address of its own: " + address);
            require(taken.add(address), name + " has another member's address, " + address);
        });
    }

    /** Where the other members reach this pooler. */
    public InetSocketAddress advertised() {
        return members.get(self);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
