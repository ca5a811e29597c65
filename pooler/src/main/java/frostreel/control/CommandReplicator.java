package frostreel.control;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Exchanges operators' commands with the earlier, concurrent and later processes of this pooler. Called on the I/O
 * thread, which it does not block; callbacks run there.
 */
interface CommandReplicator {
    /** Receives commands that other processes have stored. */
    interface Receiver extends Consumer<Map<CommandTarget, CommandState>> {}

    /** Replicates nothing, for a process that does not share commands. */
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
     * Reads the commands that earlier processes have stored.
     *
     * @param onRestored runs once all commands are read, or after a few seconds if reading fails
     */
    void restore(Receiver receiver, Runnable onRestored);

    /** Starts passing the commands that other processes store from now on to the receiver. */
    void watch(Receiver receiver);

    /**
     * Makes commands available to the other processes. A failed write is retried until it succeeds or newer commands
     * are published.
     *
     * @param commands all commands, immutable
     * @param onWritten receives the result of the first attempt
     */
    void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> onWritten);
}
