package frostreel.control;

import frostreel.net.EventLoop;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;

/**
 * Check of a shared table's file, made now and then: whether it is whole and still the one that other processes open.
 * If not, it is replaced. The check blocks and runs on the worker's task thread; all else is confined to the I/O
 * thread.
 */
final class SharedTableCheck {
    private static final Logger LOG = Logger.getLogger(SharedTableCheck.class.getName());

    private final EventLoop loop;
    private final SharedTableChannel table;
    private boolean isRunning;

    SharedTableCheck(EventLoop loop, SharedTableChannel table) {
        this.loop = loop;
        this.table = table;
    }

    /** Starts a check unless one is running. */
    void start() {
        if (isRunning) {
            return;
        }
        isRunning = true;
        SharedTableChannel.OpenFile inUse = table.file();
        try {
            loop.worker().execute(() -> check(inUse));
        } catch (RejectedExecutionException workerEnded) {
            LOG.fine("the worker has ended; " + inUse.identity().path() + " is no longer checked");
        }
    }

    private void check(SharedTableChannel.OpenFile inUse) {
        SharedTableChannel.OpenFile current = reopenIfReplaced(inUse);
        try {
            loop.thread().execute(() -> use(current));
        } catch (RejectedExecutionException loopEnded) {
            LOG.fine("the event loop has ended; " + inUse.identity().path() + " is no longer used");
        }
    }

    private SharedTableChannel.OpenFile reopenIfReplaced(SharedTableChannel.OpenFile inUse) {
        try {
            return table.reopenIfReplaced(inUse);
        } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
            LOG.fine("cannot be opened again: " + e);
            return inUse;
        }
    }

    private void use(SharedTableChannel.OpenFile file) {
        isRunning = false;
        if (!file.equals(table.file())) {
            LOG.warning(file.identity().path() + " was damaged or replaced; written anew");
        }
        try {
            table.use(file);
        } catch (IOException e) {
            LOG.fine("closing the former file: " + e);
        }
    }
}
