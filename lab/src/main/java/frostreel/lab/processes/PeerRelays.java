package frostreel.lab.processes;

import frostreel.lab.standin.Port;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The relays between poolers that are members of one cluster, one for each ordered pair. A pooler has one address
 * for all its peers, so one port accepts for all of them and identifies a peer by its host address, which each
 * pooler has for itself. Peers use a connection in both directions, whichever of them opened it, so a cut from one
 * to another applies to the connections of both.
 */
final class PeerRelays {
    private final FaultyRelay[][] relays;
    private final boolean[][] cut;
    private final List<Port> ports = new ArrayList<>();

    /** {@code binds}: where each pooler listens, on a host address of its own; on the loop's thread. */
    PeerRelays(EventLoop loop, List<InetSocketAddress> binds) throws IOException {
        int count = binds.size();
        relays = new FaultyRelay[count][count];
        cut = new boolean[count][count];
        for (int to = 0; to < count; to++) {
            InetSocketAddress far = binds.get(to);
            for (int from = 0; from < count; from++) {
                relays[from][to] = new FaultyRelay(loop, null, () -> far, true, () -> new TrafficRecorder() {});
            }
            int receiver = to;
            ports.add(new Port(loop, new InetSocketAddress(far.getAddress(), 0), connection -> {
                InetAddress caller =
                        connection.getPeerAddress(InetSocketAddress.class).getAddress();
                relays[numberOf(binds, caller)][receiver].carry(connection);
            }));
        }
    }

    private static int numberOf(List<InetSocketAddress> binds, InetAddress caller) {
        for (int i = 0; i < binds.size(); i++) {
            if (binds.get(i).getAddress().equals(caller)) {
                return i;
            }
        }
        throw new IllegalStateException("no pooler calls from " + caller);
    }

    /** Where its peers reach a pooler. */
    InetSocketAddress address(int pooler) {
        return ports.get(pooler).address();
    }

    /** Cuts or heals one direction; the other is left as it is. */
    void cut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
        relays[from][to].cut(cut[from][to], cut[to][from]);
        relays[to][from].cut(cut[to][from], cut[from][to]);
    }

    /** Delays every byte between two poolers, each way. */
    void delay(int one, int other, long us) {
        relays[one][other].delay(us);
        relays[other][one].delay(us);
    }

    /** Limits the bytes a second on each connection between two poolers, 0 for no limit. */
    void slow(int one, int other, long bytesPerSecond) {
        relays[one][other].slow(bytesPerSecond);
        relays[other][one].slow(bytesPerSecond);
    }

    /** Resets every connection between two poolers. */
    void reset(int one, int other) {
        relays[one][other].reset();
        relays[other][one].reset();
    }

    void close() {
        ports.forEach(Port::close);
        for (FaultyRelay[] row : relays) {
            for (FaultyRelay relay : row) {
                relay.close();
            }
        }
    }
}
