package frostreel.operation;

import frostreel.routing.Router;

/**
 * Observes the write attempts that this process sends, on behalf of the other processes of the same pooler. Called on
 * the event loop for each write, so implementations access memory a few times and do no I/O. Times are microseconds
 * on the pooler's clock.
 */
public interface WriteObserver {
    /** Position of a commit for which the server reported none. */
    long UNKNOWN_POSITION_US = 0;

    /** An observer that does nothing, for a pooler that never has a second process. */
    WriteObserver NONE = new WriteObserver() {
        @Override
        public void onSent(long nowUs, long session, long deadlineUs) {}

        @Override
        public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {}

        @Override
        public void onHeartbeat(long nowUs) {}
    };

    /** Called before the first byte of a write attempt is sent. */
    void onSent(long nowUs, long session, long deadlineUs);

    /**
     * Called when a write attempt has ended, before its client is notified.
     *
     * @param positionUs position of the commit, or {@link #UNKNOWN_POSITION_US}
     */
    void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs);

    /** Called several times a second while this process is running. */
    void onHeartbeat(long nowUs);
}
