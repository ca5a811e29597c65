package frostreel.lab.standin;

import frostreel.lab.model.Scheduler;
import frostreel.net.EventLoop;

/** The scheduler of the model in real time: the event loop's clock and deadlines, on its one thread. */
public final class RealTime implements Scheduler {
    private final EventLoop loop;

    /** A scheduler on an event loop, which the caller owns. */
    public RealTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return loop.clock().now();
    }

    @Override
    public void after(long us, Runnable task) {
        loop.deadlines().after(us, task);
    }
}
