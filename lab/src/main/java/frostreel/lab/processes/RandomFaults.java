package frostreel.lab.processes;

import java.util.List;
import java.util.SplittableRandom;

/** Faults drawn from the run's seed: which, to whom and when; the same seed draws the same. */
final class RandomFaults {
    private static final int POOLER_KINDS = 3;
    private static final int NETWORK_KINDS = 4;
    private static final int SERVER_KINDS = 2;
    private static final long DELAY_US = 20_000;
    private static final long BYTES_PER_SECOND = 20_000;

    private final Fleet fleet;
    private final SplittableRandom random;
    private final int poolers;
    private final int servers;
    private final long lengthUs;

    RandomFaults(Fleet fleet, long seed, int poolers, int servers, long lengthUs) {
        this.fleet = fleet;
        this.poolers = poolers;
        this.servers = servers;
        this.lengthUs = lengthUs;
        random = new SplittableRandom(seed);
    }

    /** Sets so many, each to begin within the span and to last a tenth of the length at the least. */
    void set(int count, long fromUs, long untilUs) {
        for (int i = 0; i < count; i++) {
            long atUs = random.nextLong(fromUs, untilUs);
            long endUs = atUs + random.nextLong(lengthUs / 10, lengthUs + 1);
            int pooler = random.nextInt(poolers);
            int server = random.nextInt(servers);
            NetworkSide side = List.of(NetworkSide.values()).get(random.nextInt(NetworkSide.values().length));
            int kind = random.nextInt(POOLER_KINDS + NETWORK_KINDS + SERVER_KINDS);
            if (kind < POOLER_KINDS) {
                setPoolerFault(kind, pooler, atUs, endUs);
            } else if (kind < POOLER_KINDS + NETWORK_KINDS) {
                setNetworkFault(kind - POOLER_KINDS, pooler, side, atUs, endUs);
            } else {
                setServerFault(kind - POOLER_KINDS - NETWORK_KINDS, server, atUs, endUs);
            }
        }
    }

    private void setPoolerFault(int kind, int pooler, long atUs, long endUs) {
        PoolerLifecycle lifecycle = fleet.lifecycle();
        switch (kind) {
            case 0 -> fleet.at(atUs, () -> lifecycle.kill(pooler, endUs - atUs, () -> {}));
            case 1 -> fleet.at(atUs, () -> lifecycle.stop(pooler, endUs - atUs, () -> {}));
            default -> between(atUs, endUs, () -> lifecycle.pause(pooler, true), () -> lifecycle.pause(pooler, false));
        }
    }

    private void setNetworkFault(int kind, int pooler, NetworkSide side, long atUs, long endUs) {
        NetworkFaults network = fleet.network();
        switch (kind) {
            case 0 -> {
                int direction = random.nextInt(3);
                between(
                        atUs,
                        endUs,
                        () -> network.cut(pooler, side, direction != 1, direction != 2),
                        () -> network.cut(pooler, side, false, false));
            }
            case 1 ->
                between(atUs, endUs, () -> network.delay(pooler, side, DELAY_US), () -> network.delay(pooler, side, 0));
            case 2 ->
                between(
                        atUs,
                        endUs,
                        () -> network.slow(pooler, side, BYTES_PER_SECOND),
                        () -> network.slow(pooler, side, 0));
            default -> fleet.at(atUs, () -> network.reset(pooler, side));
        }
    }

    private void setServerFault(int kind, int server, long atUs, long endUs) {
        if (kind == 0) {
            between(
                    atUs,
                    endUs,
                    () -> fleet.cluster().crash(fleet.server(server)),
                    () -> fleet.cluster().start(fleet.server(server)));
        } else {
            fleet.at(atUs, () -> fleet.cluster().drain(fleet.server(server)));
        }
    }

    private void between(long atUs, long endUs, Runnable begin, Runnable end) {
        fleet.at(atUs, begin);
        fleet.at(endUs, end);
    }
}
