package frostreel.lab.processes;

import java.util.List;

/** Faults of the network around and between the poolers of a fleet. Used on the event loop's thread alone. */
final class NetworkFaults {
    /** In place of a delay: bytes arrive as they are sent. */
    static final long NO_DELAY = 0;
    /** In place of a limit on the bytes a second: there is none. */
    static final long UNBOUNDED = 0;

    private final RunLog log;
    private final List<PoolerNode> poolers;
    /** Null where the poolers do not see each other. */
    private final PeerRelays peers;

    NetworkFaults(RunLog log, List<PoolerNode> poolers, PeerRelays peers) {
        this.log = log;
        this.poolers = poolers;
        this.peers = peers;
    }

    /** Cuts or heals each direction: {@code inbound} to the pooler, {@code outbound} from it. */
    void cut(int pooler, NetworkSide side, boolean inbound, boolean outbound) {
        log.add("p" + pooler + " to " + side + ": in " + (inbound ? "cut" : "open") + ", out "
                + (outbound ? "cut" : "open"));
        boolean poolerIsNear = side != NetworkSide.CLIENTS;
        relays(pooler, side)
                .forEach(relay -> relay.cut(poolerIsNear ? outbound : inbound, poolerIsNear ? inbound : outbound));
    }

    /** Delays every byte, each way. */
    void delay(int pooler, NetworkSide side, long us) {
        log.add("p" + pooler + " to " + side + ": " + us / 1000 + " ms later");
        relays(pooler, side).forEach(relay -> relay.delay(us));
    }

    /** Limits the bytes a second on each connection; 0 for no limit. */
    void slow(int pooler, NetworkSide side, long bytesPerSecond) {
        log.add("p" + pooler + " to " + side + ": " + rateText(bytesPerSecond));
        relays(pooler, side).forEach(relay -> relay.slow(bytesPerSecond));
    }

    /** Resets every connection. */
    void reset(int pooler, NetworkSide side) {
        log.add("p" + pooler + " to " + side + ": reset");
        relays(pooler, side).forEach(FaultyRelay::reset);
    }

    private List<FaultyRelay> relays(int pooler, NetworkSide side) {
        return poolers.get(pooler).relays(side);
    }

    private static String rateText(long bytesPerSecond) {
        return bytesPerSecond == UNBOUNDED ? "as fast as it goes" : bytesPerSecond + " bytes a second";
    }

    /** Cuts or heals the direction from one group of poolers to another; the other one is left as it is. */
    void cutPeers(List<Integer> from, List<Integer> to, boolean isCut) {
        log.add("what " + from + " say to " + to + " is " + (isCut ? "cut" : "heard again"));
        from.forEach(sender -> to.forEach(receiver -> peers.cut(sender, receiver, isCut)));
    }

    /** Delays every byte between two groups of poolers, each way. */
    void delayPeers(List<Integer> from, List<Integer> to, long us) {
        log.add("between " + from + " and " + to + ": " + us / 1000 + " ms later");
        from.forEach(one -> to.forEach(other -> peers.delay(one, other, us)));
    }

    /** Limits the bytes a second on each connection between two groups; 0 for no limit. */
    void slowPeers(List<Integer> from, List<Integer> to, long bytesPerSecond) {
        log.add("between " + from + " and " + to + ": " + rateText(bytesPerSecond));
        from.forEach(one -> to.forEach(other -> peers.slow(one, other, bytesPerSecond)));
    }
}
