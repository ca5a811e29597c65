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
    private static final long LOOK_US = 150_000;
    /** From a failed writing to the next try. */
    private static final long WRITE_AGAIN_US = 500_000;
    /** What earlier lives left is waited for no longer than this where the disk does not give it. */
    static final long FIRST_PATIENCE_US = 3_000_000;

    private static final Logger LOG = Logger.getLogger(CommandReplicator.class.getName());
    private final EventLoop loop;
    private final CommandStore folder;
    private boolean told;
    /** The orders that the last writing failed with, null where it went well; on the loop. */
    private Map<String, OperatorCommands.Command> unwritten;

    CommandReplicator(EventLoop loop, Path folder, String life) {
        this.loop = loop;
        this.folder = new CommandStore(folder, life);
    }

    /**
     * Hands on what earlier lives left, then runs {@code then}: once all of it was read, or a part after
     * {@link #FIRST_PATIENCE_US}; the rest is found by {@link #watch}.
     */
    void start(Consumer<Map<String, OperatorCommands.Command>> found, Runnable then) {
        beside(
                () -> {
                    clean();
                    return look();
                },
                first -> taken(first, found, then, loop.clock().now() + FIRST_PATIENCE_US));
    }

    private void taken(
            CommandStore.Found read,
            Consumer<Map<String, OperatorCommands.Command>> found,
            Runnable then,
            long untilUs) {
        found.accept(read.orders());
        if (read.complete() || loop.clock().now() >= untilUs) {
            then.run();
        } else {
            loop.deadlines().after(LOOK_US, () -> beside(this::look, next -> taken(next, found, then, untilUs)));
        }
    }

    private void clean() {
        try {
            folder.clean();
        } catch (IOException e) {
            LOG.warning("orders of earlier lives are not cleared away: " + e);
        }
    }

    private CommandStore.Found look() {
        CommandStore.Found found;
        try {
            found = folder.read();
        } catch (IOException e) {
            found = new CommandStore.Found(new HashMap<>(), false);
        }
        if (!found.complete() && !told) {
            LOG.warning("orders of other processes cannot be read; tried again");
        } else if (found.complete() && told) {
            LOG.info("orders of other processes are read again");
        }
        told = !found.complete();
        return found;
    }

    /** Looks on and on for what other processes heard. */
    void watch(Consumer<Map<String, OperatorCommands.Command>> found) {
        loop.deadlines()
                .after(
                        LOOK_US,
                        () -> beside(this::look, heard -> {
                            if (!heard.orders().isEmpty()) {
                                found.accept(heard.orders());
                            }
                            watch(found);
                        }));
    }

    /** Runs what may block on the task thread, and hands what comes of it to the loop. */
    private <T> void beside(Supplier<T> task, Consumer<T> then) {
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
    void keep(Map<String, OperatorCommands.Command> orders, Consumer<String> done) {
        unwritten = orders;
        beside(() -> write(orders), failure -> {
            if (unwritten == orders) {
                if (failure == null) {
                    unwritten = null;
                } else {
                    loop.deadlines().after(WRITE_AGAIN_US, () -> keepAgain(orders));
                }
            }
            done.accept(failure);
        });
    }

    private void keepAgain(Map<String, OperatorCommands.Command> orders) {
        if (unwritten == orders) {
            keep(orders, failure -> {
                if (failure == null) {
                    LOG.info("orders are kept for a successor again");
                }
            });
        }
    }

    private String write(Map<String, OperatorCommands.Command> orders) {
        try {
            folder.write(orders);
            return null;
        } catch (IOException e) {
            LOG.warning("orders cannot be kept for a successor: " + e + "; tried again");
            return "cannot be kept for a successor";
        }
    }
}
