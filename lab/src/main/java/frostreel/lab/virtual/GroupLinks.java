package frostreel.lab.virtual;

import frostreel.lab.model.Scheduler;
import java.util.HashMap;
import java.util.Map;

/** The links between the members of a {@link VirtualGroup}, by direction: cuts, delays and the order of messages. */
final class GroupLinks {
    /** One direction between two members, by their names. */
    private record Direction(String from, String to) {}

    private final Scheduler scheduler;
    private final long usualDelayUs;
    private final Map<Direction, Long> cutsSinceUs = new HashMap<>();
    private final Map<Direction, Long> extraDelaysUs = new HashMap<>();
    private final Map<Direction, Long> lastArrivalsUs = new HashMap<>();

    GroupLinks(Scheduler scheduler, long usualDelayUs) {
        this.scheduler = scheduler;
        this.usualDelayUs = usualDelayUs;
    }

    /** Cuts or restores one direction; false where it already was so. */
    boolean cut(String from, String to, boolean isCut) {
        Direction direction = new Direction(from, to);
        return isCut
                ? cutsSinceUs.putIfAbsent(direction, scheduler.now()) == null
                : cutsSinceUs.remove(direction) != null;
    }

    /** Adds a delay, in microseconds, to each message of one direction; 0 for none. */
    void delay(String from, String to, long us) {
        extraDelaysUs.put(new Direction(from, to), us);
    }

    boolean isOpen(String from, String to) {
        return !cutsSinceUs.containsKey(new Direction(from, to));
    }

    boolean isOpenBothWays(String one, String other) {
        return isOpen(one, other) && isOpen(other, one);
    }

    /** Whether no direction between two members has been cut for a timeout or longer. */
    boolean areCutsShorterThan(long timeoutUs, String one, String other) {
        return isCutShorterThan(timeoutUs, new Direction(one, other))
                && isCutShorterThan(timeoutUs, new Direction(other, one));
    }

    private boolean isCutShorterThan(long timeoutUs, Direction direction) {
        Long sinceUs = cutsSinceUs.get(direction);
        return sinceUs == null || scheduler.now() - sinceUs < timeoutUs;
    }

    /** How long a message that is sent now takes, in microseconds; it does not overtake earlier ones. */
    long transmissionUs(String from, String to) {
        Direction direction = new Direction(from, to);
        long earliestUs = scheduler.now() + usualDelayUs + extraDelaysUs.getOrDefault(direction, 0L);
        long arrivalUs = Math.max(earliestUs, lastArrivalsUs.getOrDefault(direction, 0L));
        lastArrivalsUs.put(direction, arrivalUs);
        return arrivalUs - scheduler.now();
    }
}
