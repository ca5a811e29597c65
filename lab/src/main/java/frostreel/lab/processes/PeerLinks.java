package frostreel.lab.processes;

import frostreel.lab.standin.Port;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The ways between poolers that speak to each other, a link for each ordered pair. A pooler has one address
 * for all its peers, so one relay listens there for all of them and tells who calls by the address called
 * from: each pooler speaks from a host address of its own. Connections are used in both directions, whoever
 * opened them; a cut of what one says to another holds on those of either.
 */
final class PeerLinks {
    private final FaultyRelay[][] links;
    private final boolean[][] cut;
    private final List<Port> ports = new ArrayList<>();

    /** {@code binds}: where each pooler listens, on a host address of its own. On the loop's thread. */
    PeerLinks(EventLoop loop, List<InetSocketAddress> binds) throws IOException {
        int n = binds.size();
        links = new FaultyRelay[n][n];
        cut = new boolean[n][n];
        for (int to = 0; to < n; to++) {
            InetSocketAddress far = binds.get(to);
            for (int from = 0; from < n; from++) {
                links[from][to] =
                        new FaultyRelay(loop, null, () -> far, true, () -> new FaultyRelay.TrafficRecorder() {});
            }
            int called = to;
            ports.add(new Port(loop, new InetSocketAddress(far.getAddress(), 0), c -> {
                int from = numberOf(
                        binds, c.getPeerAddress(InetSocketAddress.class).getAddress());
                links[from][called].carry(c);
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

    /** Where the others reach a pooler. */
    InetSocketAddress address(int pooler) {
        return ports.get(pooler).address();
    }

    /** Cuts or mends what one says to another; the other way is left as it is. */
    void cut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
        links[from][to].cut(cut[from][to], cut[to][from]);
        links[to][from].cut(cut[to][from], cut[from][to]);
    }

    /** Every byte between the two so much later, each way. */
    void delay(int one, int other, long us) {
        links[one][other].delay(us);
        links[other][one].delay(us);
    }

    /** So many bytes a second on each connection between the two, 0 for no bound. */
    void slow(int one, int other, long bytesPerS) {
        links[one][other].slow(bytesPerS);
        links[other][one].slow(bytesPerS);
    }

    /** Ends every connection between the two. */
    void reset(int one, int other) {
        links[one][other].reset();
        links[other][one].reset();
    }

    void close() {
        ports.forEach(Port::close);
        for (FaultyRelay[] row : links) {
            for (FaultyRelay link : row) {
                link.close();
            }
        }
    }
}
