package frostreel.operation;

import frostreel.routing.Router;

/**
 * Hears of the attempts of writes that this process carries, for the others of the same pooler. Times are
 * microseconds on the pooler's clock. Told on the loop, with each write: a few memory accesses, no I/O.
 */
public interface WriteObserver {
    /** Where no other process ever serves beside this one. */
    WriteObserver NONE = new WriteObserver() {
        @Override
        public void onSent(long nowUs, long session, long deadlineUs) {}

        @Override
        public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {}

        @Override
        public void onHeartbeat(long nowUs) {}
    };

    /** An attempt of a write goes out, before its first byte, of that session. */
    void onSent(long nowUs, long session, long deadlineUs);

    /** It has ended, before its client is told anything; {@code positionUs}: its commit, 0 where not told. */
    void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs);

    /** This process runs; told several times a second. */
    void onHeartbeat(long nowUs);
}
