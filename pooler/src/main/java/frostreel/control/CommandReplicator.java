package frostreel.control;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Exchanges operators' commands with the other processes of this pooler: those before it, beside it and after
 * it. Called on the event loop, which it does not block; callbacks run there.
 */
interface CommandReplicator {
    /** Receives commands that other processes recorded. */
    interface Receiver extends Consumer<Map<CommandTarget, CommandState>> {}

    /** For a process that shares commands with no other. */
    CommandReplicator NONE = new CommandReplicator() {
        @Override
        public void restore(Receiver receiver, Runnable whenRestored) {
            whenRestored.run();
        }

        @Override
        public void watch(Receiver receiver) {}

        @Override
        public void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> whenWritten) {
            whenWritten.accept(Durability.DURABLE);
        }
    };

    /**
     * Reads what earlier processes recorded.
     *
     * @param whenRestored runs once everything was read, or after a few seconds if the disk does not give it
     */
    void restore(Receiver receiver, Runnable whenRestored);

    /** Passes on from now on what other processes record. */
    void watch(Receiver receiver);

    /**
     * Makes commands available to the other processes. If that fails, it is retried until it succeeds or newer
     * commands are published.
     *
     * @param commands all commands, immutable
     * @param whenWritten learns the result of the first attempt
     */
    void publish(Map<CommandTarget, CommandState> commands, Consumer<Durability> whenWritten);
}
