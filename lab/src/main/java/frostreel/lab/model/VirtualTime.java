package frostreel.lab.model;

import java.util.PriorityQueue;

/** Virtual time: tasks run in order of their due times, and tasks of equal due times in the order of scheduling. */
public final class VirtualTime implements Scheduler {
    private record Event(long atUs, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
    private long nowUs;
    private long scheduled;

    /** A clock that stands at {@code startUs}, in Unix microseconds. */
    public VirtualTime(long startUs) {
        nowUs = startUs;
    }

    @Override
    public long now() {
        return nowUs;
    }

    @Override
    public void after(long us, Runnable task) {
        events.add(new Event(nowUs + Math.max(0, us), scheduled++, task));
    }

    /** Runs all tasks that are due up to a time, and sets the clock to it. */
    public void runUntil(long atUs) {
        while (!events.isEmpty() && events.peek().atUs <= atUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.task.run();
        }
        nowUs = Math.max(nowUs, atUs);
    }
}
