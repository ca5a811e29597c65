package frostreel.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * The commits that the reads of a session must see, remembered from the writes that went through this router.
 * Owned by {@link ChainRouter}; it decides nothing. Positions and times are microseconds on one clock.
 *
 * <p>A write whose answer has arrived binds reads by its commit. The outcome of a write that is in flight, or that
 * ended without telling its effect, is unknown: its server may have answered and the answer may be lost. The
 * content of an answer counts as known {@link Router#KNOWN_AFTER_US} after it was written, arrived or not; until
 * its outcome is settled, such a write therefore binds reads to everything committed up to that long ago.
 */
final class SessionCommits {
    /** Commits are reported in milliseconds. */
    private static final long ROUNDING_US = 1_000;
    /** How many sessions are kept. Those beyond it that were not used for longest bind all reads, as aged ones do. */
    static final int MAX_SESSIONS = 1 << 16;

    private static final class SessionWrites {
        long lastCommitUs;
        int inFlight;
        /** Since when at least one write is in flight. */
        long inFlightSinceUs;
        /** Until when writes that ended with unknown outcome may be answered. */
        long unknownOutcomeUntilUs;

        /** The latest commit that the writes may have, where none is in flight. */
        long latestPossibleCommitUs() {
            return Math.max(lastCommitUs, unknownOutcomeUntilUs);
        }
    }

    /** The longest unused first. */
    private final LinkedHashMap<Long, SessionWrites> sessions = new LinkedHashMap<>();
    /** Binds the reads of every session, on behalf of the sessions that were dropped. */
    private long minPositionUs;

    /** A write of the session was sent. */
    void recordSend(long nowUs, long session) {
        SessionWrites writes = sessions.remove(session); // Inserted again at the end, as the last used.
        if (writes == null) {
            writes = new SessionWrites();
        }
        sessions.put(session, writes);
        if (writes.inFlight == 0) {
            writes.inFlightSinceUs = nowUs;
        }
        writes.inFlight++;
    }

    /**
     * A write that was sent has ended. One that may have run and has no commit has an unknown outcome: its server
     * answered by now or, where it may still be running, answers by its deadline.
     *
     * @param commitUs its commit, or {@link Router#NO_POSITION} where none was reported
     * @param retentionUs after which commits are dropped, to bind the reads of all sessions from then on
     */
    void recordOutcome(
            long nowUs, long session, long deadlineUs, Router.Outcome outcome, long commitUs, long retentionUs) {
        SessionWrites writes = sessions.get(session);
        if (writes != null) { // A session that was dropped binds all reads already.
            writes.inFlight = Math.max(0, writes.inFlight - 1);
            applyOutcome(writes, nowUs, deadlineUs, outcome, commitUs);
        }
        evictOldest(nowUs, retentionUs);
    }

    private static void applyOutcome(
            SessionWrites writes, long nowUs, long deadlineUs, Router.Outcome outcome, long commitUs) {
        if (outcome == Router.Outcome.OK && commitUs > Router.NO_POSITION) {
            writes.lastCommitUs = Math.max(writes.lastCommitUs, commitUs);
        } else if (!outcome.provesNotRun) {
            boolean mayStillRun = outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.CANCELLED;
            long respondedByUs = mayStillRun ? Math.max(nowUs, deadlineUs) : nowUs;
            writes.unknownOutcomeUntilUs = Math.max(writes.unknownOutcomeUntilUs, respondedByUs);
        }
    }

    private void evictOldest(long nowUs, long retentionUs) {
        Iterator<SessionWrites> oldestFirst = sessions.values().iterator();
        while (oldestFirst.hasNext()) {
            SessionWrites oldest = oldestFirst.next();
            boolean expired = oldest.inFlight == 0 && oldest.latestPossibleCommitUs() < nowUs - retentionUs;
            if (!expired && sessions.size() <= MAX_SESSIONS) {
                break;
            }
            long mayCommitUntilUs = oldest.inFlight == 0 ? oldest.latestPossibleCommitUs() : nowUs + retentionUs;
            minPositionUs = Math.max(minPositionUs, mayCommitUntilUs);
            oldestFirst.remove();
        }
    }

    /** The position that a read of the session must see now, or {@link Router#NO_POSITION}. */
    long requiredPositionUs(long nowUs, long session) {
        SessionWrites writes = sessions.get(session);
        long requiredUs = Math.min(minPositionUs, nowUs);
        if (writes == null) {
            return requiredUs;
        }
        if (writes.lastCommitUs > Router.NO_POSITION) {
            requiredUs = Math.max(requiredUs, writes.lastCommitUs + ROUNDING_US);
        }
        long knownUs = nowUs - Router.KNOWN_AFTER_US;
        if (writes.inFlight > 0 && writes.inFlightSinceUs < knownUs) {
            requiredUs = Math.max(requiredUs, knownUs);
        }
        return Math.max(requiredUs, Math.min(knownUs, writes.unknownOutcomeUntilUs));
    }

    /** How many sessions are kept. */
    int size() {
        return sessions.size();
    }
}
