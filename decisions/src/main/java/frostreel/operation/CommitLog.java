package frostreel.operation;

import frostreel.routing.Router;

/**
 * Hears of the attempts of writes that this process carries, for the others of the same pooler. Times are
 * microseconds on the pooler's clock. Told on the loop, with each write: a few memory accesses, no I/O.
 */
public interface CommitLog {
    /** Where no other process ever serves beside this one. */
    CommitLog NONE = new CommitLog() {
        @Override
        public void sent(long nowUs, long session, long deadlineUs) {}

        @Override
        public void ended(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {}

        @Override
        public void beat(long nowUs) {}
    };

    /** An attempt of a write goes out, before its first byte, of that session. */
    void sent(long nowUs, long session, long deadlineUs);

    /** It has ended, before its client is told anything; {@code positionUs}: its commit, 0 where not told. */
    void ended(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs);

    /** This process runs; told several times a second. */
    void beat(long nowUs);
}
