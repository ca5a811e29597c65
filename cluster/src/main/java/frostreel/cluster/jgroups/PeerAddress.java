package frostreel.cluster.jgroups;

import frostreel.cluster.Peer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jgroups.Address;
import org.jgroups.util.ExtendedUUID;

/**
 * Encodes the name and incarnation of a peer in its JGroups address, so that every member knows them from the first
 * message on.
 */
final class PeerAddress {
    private static final String NAME_KEY = "name";
    private static final String INCARNATION_KEY = "life";

    private PeerAddress() {}

    static Address of(Peer peer) {
        return ExtendedUUID.randomUUID(peer.toString())
                .put(NAME_KEY, peer.name().getBytes(StandardCharsets.UTF_8))
                // Decimal text, because the library's log lines include it.
                .put(INCARNATION_KEY, Long.toString(peer.incarnation()).getBytes(StandardCharsets.US_ASCII));
    }

    /** The peer at an address; empty if the address was not created by a pooler. */
    static Optional<Peer> peer(Address address) {
        if (!(address instanceof ExtendedUUID id) || !id.keyExists(NAME_KEY) || !id.keyExists(INCARNATION_KEY)) {
            return Optional.empty();
        }
        String name = new String(id.get(NAME_KEY), StandardCharsets.UTF_8);
        String incarnation = new String(id.get(INCARNATION_KEY), StandardCharsets.US_ASCII);
        try {
            return Optional.of(new Peer(name, Long.parseLong(incarnation)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
