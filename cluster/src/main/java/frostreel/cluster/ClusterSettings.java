package frostreel.cluster;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The settings of a cluster and its members. Messages from other senders are ignored.
 *
 * @param clusterName name of the cluster; poolers of other clusters are ignored
 * @param self name of this pooler, one of {@code members}
 * @param bind address at which this pooler listens for the other members; not a wildcard
 * @param members advertised address of each member by name, at which the other members reach it; may differ from the
 *     address that the member binds
 * @param silentAfterMs a member that sends no heartbeat for this time is suspected; 500 to 60,000
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
        require(!clusterName.isBlank(), "the cluster name is blank");
        require(members.containsKey(self), "members do not include this pooler, " + self);
        require(!bind.isUnresolved(), "cannot resolve the bind address " + bind);
        require(!bind.getAddress().isAnyLocalAddress(), "the bind address must not be a wildcard: " + bind);
        require(
                silentAfterMs >= MIN_SILENT_MS && silentAfterMs <= MAX_SILENT_MS,
                "silentAfterMs is " + silentAfterMs + ", must be " + MIN_SILENT_MS + " to " + MAX_SILENT_MS);
        Set<InetSocketAddress> taken = new HashSet<>();
        members.forEach((name, address) -> {
            require(
                    !address.isUnresolved() && address.getPort() > 0,
                    "address of " + name + " is unresolved or has no port: " + address);
            require(
                    !address.getAddress().isAnyLocalAddress(),
                    "address of " + name + " must not be a wildcard: " + address);
            require(taken.add(address), "address of " + name + " is already used by another member: " + address);
        });
    }

    /** The address at which the other members reach this pooler. */
    public InetSocketAddress advertised() {
        return members.get(self);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
