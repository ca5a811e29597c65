package frostreel.lab.virtual;

import java.util.PriorityQueue;

/** The clock of a {@link WireEventGenerator}, and the events that are due, in order of time. */
final class GeneratedTimeline {
    /** An event; those of equal times keep the order in which they were scheduled. */
    private record Event(long dueUs, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueUs, other.dueUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long scheduled;

    GeneratedTimeline(long startUs) {
        nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    boolean isEmpty() {
        return events.isEmpty();
    }

    void at(long dueUs, Runnable task) {
        events.add(new Event(dueUs, scheduled++, task));
    }

    void after(long delayUs, Runnable task) {
        at(nowUs + delayUs, task);
    }

    /** Advances the clock to the next event, by a round at least. */
    void advance(long roundUs) {
        nowUs = Math.max(nowUs + roundUs, events.element().dueUs);
    }

    /** Runs all events that are due by now, those included that they schedule. */
    void runDue() {
        while (!events.isEmpty() && events.element().dueUs <= nowUs) {
            events.remove().task.run();
        }
    }
}
