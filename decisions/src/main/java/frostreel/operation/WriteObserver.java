package frostreel.operation;

import frostreel.routing.Router;

/**
 * Is notified of the write attempts that this process sends, on behalf of the other processes of the same
 * pooler. Called on the event loop with each write, so implementations do a few memory accesses and no I/O.
 * Times are microseconds on the pooler's clock.
 */
public interface WriteObserver {
    /** The position of a commit that the server did not state. */
    long UNKNOWN_POSITION_US = 0;

    /** Observes nothing, for a pooler that never has a second process. */
    WriteObserver NONE = new WriteObserver() {
        @Override
        public void onSent(long nowUs, long session, long deadlineUs) {}

        @Override
        public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {}

        @Override
        public void onHeartbeat(long nowUs) {}
    };

    /** An attempt of a write of that session is about to be sent; called before its first byte. */
    void onSent(long nowUs, long session, long deadlineUs);

    /**
     * An attempt of a write has ended; called before its client learns of it.
     *
     * @param positionUs the commit's position, or {@link #UNKNOWN_POSITION_US}
     */
    void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs);

    /** This process is alive; called several times a second. */
    void onHeartbeat(long nowUs);
}
