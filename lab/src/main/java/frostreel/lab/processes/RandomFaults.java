package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Faults of single poolers and servers drawn from the run's seed; the same seed draws the same.
 *
 * @param count how many are drawn
 * @param fromUs the earliest begin of a fault
 * @param untilUs the end of the span in which faults begin
 * @param lengthUs the longest duration of a fault; the shortest is a tenth of it
 */
record RandomFaults(int poolers, int servers, int count, long fromUs, long untilUs, long lengthUs)
        implements ProcessFault {
    private static final int POOLER_KINDS = 3;
    private static final int NETWORK_KINDS = 4;
    private static final int SERVER_KINDS = 2;
    private static final long DELAY_US = 20_000;
    private static final long BYTES_PER_SECOND = 20_000;

    static RandomFaults read(FaultElement element) {
        return new RandomFaults(
                element.experiment().poolers(),
                element.experiment().servers(),
                (int) element.xml().integer("count"),
                element.atUs(),
                element.untilUs(),
                element.xml().microsFromSeconds("lengthS"));
    }

    @Override
    public void schedule(Fleet fleet) {
        draw(fleet.seed()).forEach(fault -> fault.schedule(fleet));
    }

    /** The faults that a seed gives. */
    List<ProcessFault> draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ProcessFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(drawOne(random));
        }
        return faults;
    }

    private ProcessFault drawOne(SplittableRandom random) {
        long atUs = random.nextLong(fromUs, untilUs);
        long endUs = atUs + random.nextLong(lengthUs / 10, lengthUs + 1);
        int pooler = random.nextInt(poolers);
        int server = random.nextInt(servers);
        NetworkSide side = List.of(NetworkSide.values()).get(random.nextInt(NetworkSide.values().length));
        int kind = random.nextInt(POOLER_KINDS + NETWORK_KINDS + SERVER_KINDS);
        return switch (kind) {
            case 0 -> new PoolerFault.Kill(pooler, atUs, endUs - atUs);
            case 1 -> new PoolerFault.Stop(pooler, atUs, endUs - atUs);
            case 2 -> new PoolerFault.Pause(pooler, atUs, endUs);
            case 3 -> {
                int direction = random.nextInt(3);
                yield new NetworkFault.Cut(pooler, side, atUs, endUs, direction != 1, direction != 2);
            }
            case 4 -> new NetworkFault.Delay(pooler, side, atUs, endUs, DELAY_US);
            case 5 -> new NetworkFault.Slow(pooler, side, atUs, endUs, BYTES_PER_SECOND);
            case 6 -> new NetworkFault.Reset(pooler, side, atUs);
            case 7 -> new ServerFault.Crash(server, atUs, endUs);
            default -> new ServerFault.Drain(server, atUs, TimedFault.NEVER);
        };
    }
}
