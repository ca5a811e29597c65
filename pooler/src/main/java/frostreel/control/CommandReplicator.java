package frostreel.control;

import frostreel.net.EventLoop;
import frostreel.operation.OperatorCommands;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Keeps orders where a successor finds them, and takes over those of a process that serves beside this one.
 * The files are read and written on the worker's task thread, one task after another; what comes of it is
 * handed to the loop. What could not be written is written as soon as the disk takes it.
 */
final class CommandReplicator {
    /** A part of the second within which the rule on drains counts an order as told. */
    private static final long POLL_INTERVAL_US = 150_000;
    /** From a failed writing to the next try. */
    private static final long WRITE_RETRY_DELAY_US = 500_000;
    /** What earlier lives left is waited for no longer than this where the disk does not give it. */
    static final long RESTORE_TIMEOUT_US = 3_000_000;

    private static final Logger LOG = Logger.getLogger(CommandReplicator.class.getName());
    private final EventLoop loop;
    private final CommandStore store;
    private boolean readFailing;
    /** The orders that the last writing failed with, null where it went well; on the loop. */
    private Map<String, OperatorCommands.CommandState> unwritten;

    CommandReplicator(EventLoop loop, Path folder, String incarnation) {
        this.loop = loop;
        store = new CommandStore(folder, incarnation);
    }

    /**
     * Hands on what earlier lives left, then runs {@code then}: once all of it was read, or a part after
     * {@link #RESTORE_TIMEOUT_US}; the rest is found by {@link #watch}.
     */
    void restore(Consumer<Map<String, OperatorCommands.CommandState>> found, Runnable then) {
        runTask(
                () -> {
                    removeStale();
                    return read();
                },
                first -> continueRestore(first, found, then, loop.clock().now() + RESTORE_TIMEOUT_US));
    }

    private void continueRestore(CommandStore.ReadResult read, Consumer<Map<String, OperatorCommands.CommandState>> found, Runnable then, long untilUs) {
        found.accept(read.commands());
        if (read.complete() || loop.clock().now() >= untilUs) {
            then.run();
        } else {
            loop.deadlines().after(POLL_INTERVAL_US, () -> runTask(this::read, next -> continueRestore(next, found, then, untilUs)));
        }
    }

    private void removeStale() {
        try {
            store.removeStale();
        } catch (IOException e) {
            LOG.warning("orders of earlier lives are not cleared away: " + e);
        }
    }

    private CommandStore.ReadResult read() {
        CommandStore.ReadResult found;
        try {
            found = store.readOthers();
        } catch (IOException e) {
            found = new CommandStore.ReadResult(new HashMap<>(), false);
        }
        if (!found.complete() && !readFailing) {
            LOG.warning("orders of other processes cannot be read; tried again");
        } else if (found.complete() && readFailing) {
            LOG.info("orders of other processes are read again");
        }
        readFailing = !found.complete();
        return found;
    }

    /** Looks on and on for what other processes heard. */
    void watch(Consumer<Map<String, OperatorCommands.CommandState>> found) {
        loop.deadlines()
                .after(
                        POLL_INTERVAL_US,
                        () -> runTask(this::read, heard -> {
                            if (!heard.commands().isEmpty()) {
                                found.accept(heard.commands());
                            }
                            watch(found);
                        }));
    }

    /** Runs what may block on the task thread, and hands what comes of it to the loop. */
    private <T> void runTask(Supplier<T> task, Consumer<T> then) {
        try {
            loop.worker().execute(() -> {
                T result = task.get();
                try {
                    loop.thread().execute(() -> then.accept(result));
                } catch (RejectedExecutionException e) {
                    LOG.fine("the loop has ended, and takes nothing more");
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.fine("the program ends, and looks for orders no more");
        }
    }

    /**
     * Keeps these, then tells: null, or why they would not outlast an end now. Where that fails, it is tried
     * again until it goes well, or newer orders come.
     */
    void publish(Map<String, OperatorCommands.CommandState> commands, Consumer<String> done) {
        unwritten = commands;
        runTask(() -> write(commands), failure -> {
            if (unwritten == commands) {
                if (failure == null) {
                    unwritten = null;
                } else {
                    loop.deadlines().after(WRITE_RETRY_DELAY_US, () -> publishAgain(commands));
                }
            }
            done.accept(failure);
        });
    }

    private void publishAgain(Map<String, OperatorCommands.CommandState> commands) {
        if (unwritten == commands) {
            publish(commands, failure -> {
                if (failure == null) {
                    LOG.info("orders are kept for a successor again");
                }
            });
        }
    }

    private String write(Map<String, OperatorCommands.CommandState> commands) {
        try {
            store.write(commands);
            return null;
        } catch (IOException e) {
            LOG.warning("orders cannot be kept for a successor: " + e + "; tried again");
            return "cannot be kept for a successor";
        }
    }
}
