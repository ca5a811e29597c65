package frostreel.control;

import frostreel.net.EventLoop;
import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Replicates through files: a process writes its commands to a {@link CommandStore} and polls it for those of the
 * others. The store is used on the worker's task thread only, one task after another; results are passed to the
 * event loop.
 */
final class FileCommandReplicator implements CommandReplicator {
    /** A fraction of the second within which a command must be in force in all processes. */
    private static final long POLL_INTERVAL_US = 150_000;

    private static final long WRITE_RETRY_DELAY_US = 500_000;
    /** How long to wait for a disk from which not all commands of earlier processes can be read. */
    private static final long RESTORE_TIMEOUT_US = 3_000_000;

    private static final Logger LOG = Logger.getLogger(FileCommandReplicator.class.getName());

    private final EventLoop loop;
    private final CommandStore store;
    /** Used on the task thread: whether the last read failed. A failure is logged once. */
    private boolean readFailing;
    /** Used on the event loop: the commands published last, null once they are written. */
    private Map<CommandTarget, CommandState> unwritten;

    FileCommandReplicator(EventLoop loop, Path folder, String incarnation) {
        this.loop = loop;
        store = new CommandStore(folder, incarnation);
    }

    @Override
    public void restore(Receiver receiver, Runnable onRestored) {
        Supplier<CommandStore.ReadResult> firstRead = () -> {
            removeStale();
            return read();
        };
        runTask(firstRead, result -> {
            long giveUpAtUs = loop.clock().now() + RESTORE_TIMEOUT_US;
            continueRestore(result, receiver, onRestored, giveUpAtUs);
        });
    }

    private void continueRestore(
            CommandStore.ReadResult result, Receiver receiver, Runnable onRestored, long giveUpAtUs) {
        receiver.accept(result.commands());
        if (result.complete() || loop.clock().now() >= giveUpAtUs) {
            onRestored.run(); // What could not be read yet is received while watching.
            return;
        }
        Runnable readAgain = () -> runTask(this::read, next -> continueRestore(next, receiver, onRestored, giveUpAtUs));
        loop.deadlines().after(POLL_INTERVAL_US, readAgain);
    }

    @Override
    public void watch(Receiver receiver) {
        loop.deadlines().after(POLL_INTERVAL_US, () -> poll(receiver));
    }

    private void poll(Receiver receiver) {
        runTask(this::read, result -> {
            if (!result.commands().isEmpty()) {
                receiver.accept(result.commands());
            }
            watch(receiver);
        });
    }

    @Override
    public void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> onWritten) {
        unwritten = commands;
        runTask(() -> write(commands), durability -> {
            if (unwritten == commands) {
                retryOrForget(commands, durability);
            }
            onWritten.accept(durability);
        });
    }

    private void retryOrForget(Map<CommandTarget, CommandState> commands, Durability durability) {
        if (durability == Durability.DURABLE) {
            unwritten = null;
        } else {
            loop.deadlines().after(WRITE_RETRY_DELAY_US, () -> publishAgain(commands));
        }
    }

    private void publishAgain(Map<CommandTarget, CommandState> commands) {
        if (unwritten != commands) {
            return; // Newer commands are being written.
        }
        publish(commands, durability -> {
            if (durability == Durability.DURABLE) {
                LOG.info("storing commands recovered");
            }
        });
    }

    /** Runs on the task thread what may block, and passes its result to the event loop. */
    private <T> void runTask(Supplier<T> task, Consumer<T> onResult) {
        try {
            loop.worker().execute(() -> {
                T result = task.get();
                try {
                    loop.thread().execute(() -> onResult.accept(result));
                } catch (RejectedExecutionException loopEnded) {
                    LOG.fine("the event loop has ended and takes no results");
                }
            });
        } catch (RejectedExecutionException workerEnded) {
            LOG.fine("the worker has ended and takes no tasks");
        }
    }

    private void removeStale() {
        try {
            store.removeStale();
        } catch (IOException failure) {
            LOG.warning("cannot remove stale command files: " + failure);
        }
    }

    private CommandStore.ReadResult read() {
        CommandStore.ReadResult result;
        try {
            result = store.readOthers();
        } catch (IOException unreadable) {
            result = CommandStore.ReadResult.UNREADABLE;
        }
        if (!result.complete() && !readFailing) {
            LOG.warning("cannot read commands of other processes; retrying");
        } else if (result.complete() && readFailing) {
            LOG.info("reading commands of other processes recovered");
        }
        readFailing = !result.complete();
        return result;
    }

    private Durability write(Map<CommandTarget, CommandState> commands) {
        try {
            store.write(commands);
            return Durability.DURABLE;
        } catch (IOException failure) {
            LOG.warning("cannot store commands: " + failure + "; retrying");
            return Durability.NOT_DURABLE;
        }
    }
}
