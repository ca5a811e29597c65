package frostreel.lab.processes;

import java.util.List;
import java.util.SplittableRandom;

/** Faults drawn from the run's seed: which, to whom and when; the same seed draws the same. */
final class RandomFaults {
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
            switch (random.nextInt(9)) {
                case 0 -> fleet.at(atUs, () -> fleet.lifecycle().kill(pooler, endUs - atUs, () -> {}));
                case 1 -> fleet.at(atUs, () -> fleet.lifecycle().stop(pooler, endUs - atUs, () -> {}));
                case 2 ->
                    between(
                            atUs,
                            endUs,
                            () -> fleet.lifecycle().pause(pooler, true),
                            () -> fleet.lifecycle().pause(pooler, false));
                case 3 -> cut(atUs, endUs, pooler, side);
                case 4 ->
                    between(
                            atUs,
                            endUs,
                            () -> fleet.network().delay(pooler, side, 20_000),
                            () -> fleet.network().delay(pooler, side, 0));
                case 5 ->
                    between(
                            atUs,
                            endUs,
                            () -> fleet.network().slow(pooler, side, 20_000),
                            () -> fleet.network().slow(pooler, side, 0));
                case 6 -> fleet.at(atUs, () -> fleet.network().reset(pooler, side));
                case 7 ->
                    between(
                            atUs,
                            endUs,
                            () -> fleet.cluster().crash(fleet.server(server)),
                            () -> fleet.cluster().start(fleet.server(server)));
                default -> between(atUs, endUs, () -> fleet.cluster().drain(fleet.server(server)), () -> {});
            }
        }
    }

    private void cut(long atUs, long endUs, int pooler, NetworkSide side) {
        int way = random.nextInt(3);
        between(
                atUs,
                endUs,
                () -> fleet.network().cut(pooler, side, way != 1, way != 2),
                () -> fleet.network().cut(pooler, side, false, false));
    }

    private void between(long atUs, long endUs, Runnable begin, Runnable end) {
        fleet.at(atUs, begin);
        fleet.at(endUs, end);
    }
}
