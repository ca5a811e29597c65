package frostreel.lab.processes;

import java.util.List;
import java.util.SplittableRandom;

/** Faults drawn from the run's seed: which, to whom and when; the same seed draws the same. */
final class RandomFaults {
    private final Fleet fleet;
    private final SplittableRandom chance;
    private final int poolers;
    private final int servers;
    private final long lengthUs;

    RandomFaults(Fleet fleet, long seed, int poolers, int servers, long lengthUs) {
        this.fleet = fleet;
        this.poolers = poolers;
        this.servers = servers;
        this.lengthUs = lengthUs;
        chance = new SplittableRandom(seed);
    }

    /** Sets so many, each to begin within the span and to last a tenth of the length at the least. */
    void set(int count, long fromUs, long untilUs) {
        for (int i = 0; i < count; i++) {
            long atUs = chance.nextLong(fromUs, untilUs);
            long endUs = atUs + chance.nextLong(lengthUs / 10, lengthUs + 1);
            int pooler = chance.nextInt(poolers);
            int server = chance.nextInt(servers);
            Fleet.Side side = List.of(Fleet.Side.values()).get(chance.nextInt(Fleet.Side.values().length));
            switch (chance.nextInt(9)) {
                case 0 -> fleet.at(atUs, () -> fleet.kill(pooler, endUs - atUs, () -> {}));
                case 1 -> fleet.at(atUs, () -> fleet.stop(pooler, endUs - atUs, () -> {}));
                case 2 -> between(atUs, endUs, () -> fleet.pause(pooler, true), () -> fleet.pause(pooler, false));
                case 3 -> cut(atUs, endUs, pooler, side);
                case 4 ->
                    between(atUs, endUs, () -> fleet.delay(pooler, side, 20_000), () -> fleet.delay(pooler, side, 0));
                case 5 ->
                    between(atUs, endUs, () -> fleet.slow(pooler, side, 20_000), () -> fleet.slow(pooler, side, 0));
                case 6 -> fleet.at(atUs, () -> fleet.reset(pooler, side));
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

    private void cut(long atUs, long endUs, int pooler, Fleet.Side side) {
        int way = chance.nextInt(3);
        between(
                atUs,
                endUs,
                () -> fleet.cut(pooler, side, way != 1, way != 2),
                () -> fleet.cut(pooler, side, false, false));
    }

    private void between(long atUs, long endUs, Runnable begin, Runnable end) {
        fleet.at(atUs, begin);
        fleet.at(endUs, end);
    }
}
