package frostreel.lab.processes;

/**
 * Observes one connection between a pooler and a remote party from the pooler's end of it. All calls come on the
 * event loop's thread.
 */
interface TrafficRecorder {
    /** The pooler has written these bytes. */
    default void poolerSent(byte[] bytes) {}

    /** The pooler is about to receive these bytes. */
    default void poolerReceived(byte[] bytes) {}

    /** The connection has ended, closed by the pooler or by its remote party. */
    default void connectionEnded(boolean byPooler) {}
}
