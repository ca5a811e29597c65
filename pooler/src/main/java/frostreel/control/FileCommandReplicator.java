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
 * Replicates commands through files: each process writes its commands to a {@link CommandStore} and polls it for
 * commands of the others. The store is confined to the worker's single task thread; results are passed to the I/O
 * thread.
 */
final class FileCommandReplicator implements CommandReplicator {
    /** A fraction of the 1 s within which a command must be in force in all processes. */
    private static final long POLL_INTERVAL_US = 150_000;

    private static final long WRITE_RETRY_DELAY_US = 500_000;
    /** Time after which a restore completes even if some commands of earlier processes cannot be read. */
    private static final long RESTORE_TIMEOUT_US = 3_000_000;

    private static final Logger LOG = Logger.getLogger(FileCommandReplicator.class.getName());

    private final EventLoop loop;
    private final CommandStore store;
    /** Whether the last read failed, so that an outage is logged once; confined to the task thread. */
    private boolean readFailing;
    /** The commands published last, null once they are written; confined to the I/O thread. */
    private Map<CommandTarget, CommandState> unwritten;

    /**
     * Creates a replicator; nothing is read or written yet.
     *
     * @param incarnation identifier of this process, unique among all processes that use the folder
     */
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
            onRestored.run(); // Commands that could not be read yet are received while watching.
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

    /** Runs a task, which may block, on the task thread, and passes its result to the I/O thread. */
    private <T> void runTask(Supplier<T> task, Consumer<T> onResult) {
        try {
            loop.worker().execute(() -> {
                T result = task.get();
                try {
                    loop.thread().execute(() -> onResult.accept(result));
                } catch (RejectedExecutionException loopEnded) {
                    LOG.fine("the event loop has ended; dropped the result of a command task");
                }
            });
        } catch (RejectedExecutionException workerEnded) {
            LOG.fine("the worker has ended; dropped a command task");
        }
    }

    /** Deletes files that no process needs any more, see {@link CommandStore#removeStale}. */
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
