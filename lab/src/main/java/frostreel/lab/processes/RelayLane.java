package frostreel.lab.processes;

import frostreel.net.EventLoop;
import java.util.ArrayDeque;

/** One direction of a relayed connection: bytes that are on their way, in their order, under the relay's faults. */
final class RelayLane {
    /** The end of the connection at which the bytes arrive. */
    interface Receiver {
        /** Whether it can take bytes now. */
        boolean isOpen();

        /** Takes the bytes that arrive. */
        void deliver(byte[] bytes);
    }

    private final EventLoop loop;
    private final RelayFaults faults;
    private final RelayFaults.Direction direction;
    private final Receiver receiver;
    private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
    /** When the bandwidth limit has let through all bytes that left the queue. */
    private long freeAtUs;

    private boolean delivering;

    RelayLane(EventLoop loop, RelayFaults faults, RelayFaults.Direction direction, Receiver receiver) {
        this.loop = loop;
        this.faults = faults;
        this.direction = direction;
        this.receiver = receiver;
    }

    /** Adds bytes behind those that are on their way. */
    void add(byte[] bytes) {
        queue.add(bytes);
        advance();
    }

    /** Whether nothing is on its way. */
    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Whether the end of the connection may follow what was sent before it. */
    boolean isDrained() {
        return !isCut() && queue.isEmpty();
    }

    private boolean isCut() {
        return faults.isCut(direction);
    }

    /** Delivers what can be delivered now, and schedules the rest. */
    void advance() {
        if (delivering || queue.isEmpty() || isCut() || !receiver.isOpen()) {
            return;
        }
        long nowUs = loop.clock().now();
        freeAtUs = Math.max(freeAtUs, nowUs) + faults.transferUs(queue.peek().length);
        long waitUs = freeAtUs - nowUs + faults.delayUs();
        if (waitUs == 0) {
            deliverNext();
        } else {
            delivering = true;
            loop.deadlines().after(waitUs, () -> {
                delivering = false;
                if (!isCut()) {
                    deliverNext();
                }
            });
        }
    }

    private void deliverNext() {
        byte[] next = queue.poll();
        if (next != null && receiver.isOpen()) {
            receiver.deliver(next);
            advance();
        }
    }
}
