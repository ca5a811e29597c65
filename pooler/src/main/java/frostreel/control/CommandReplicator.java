package frostreel.control;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Exchanges operators' commands with the other processes of this pooler: earlier ones, concurrent ones and later
 * ones. Called on the event loop, which it does not block; callbacks run there.
 */
interface CommandReplicator {
    /** Receives commands that other processes recorded. */
    interface Receiver extends Consumer<Map<CommandTarget, CommandState>> {}

    /** Replicates nothing, for a process that shares commands with no other. */
    CommandReplicator NONE = new CommandReplicator() {
        @Override
        public void restore(Receiver receiver, Runnable onRestored) {
            onRestored.run();
        }

        @Override
        public void watch(Receiver receiver) {}

        @Override
        public void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> onWritten) {
            onWritten.accept(Durability.DURABLE);
        }
    };

    /**
     * Reads what earlier processes recorded.
     *
     * @param onRestored runs once everything was read, or after a few seconds if reading fails
     */
    void restore(Receiver receiver, Runnable onRestored);

    /** Passes on what other processes record from now on. */
    void watch(Receiver receiver);

    /**
     * Makes commands available to the other processes. A failure is retried until it succeeds or newer commands
     * are published.
     *
     * @param commands all commands, immutable
     * @param onWritten receives the result of the first attempt
     */
    void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> onWritten);
}
