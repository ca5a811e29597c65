package frostreel.cluster.jgroups;

import frostreel.cluster.Peer;
import java.nio.charset.StandardCharsets;
import org.jgroups.Address;
import org.jgroups.util.ExtendedUUID;

/**
 * Carries a peer's name and incarnation in its JGroups address, so that every member knows them from the
 * first message.
 */
final class PeerAddress {
    private static final String NAME_KEY = "name";
    private static final String INCARNATION_KEY = "life";

    private PeerAddress() {}

    static Address of(Peer peer) {
        return ExtendedUUID.randomUUID(peer.toString())
                .put(NAME_KEY, peer.name().getBytes(StandardCharsets.UTF_8))
                // In decimal, as the library's log lines show it.
                .put(INCARNATION_KEY, Long.toString(peer.incarnation()).getBytes(StandardCharsets.US_ASCII));
    }

    /** The peer of an address, null for an address of another kind. */
    static Peer peer(Address address) {
        if (address instanceof ExtendedUUID id && id.keyExists(NAME_KEY) && id.keyExists(INCARNATION_KEY)) {
            try {
                return new Peer(
                        new String(id.get(NAME_KEY), StandardCharsets.UTF_8),
                        Long.parseLong(new String(id.get(INCARNATION_KEY), StandardCharsets.US_ASCII)));
            } catch (NumberFormatException e) {
                return null; // Made by another program.
            }
        }
        return null;
    }
}
