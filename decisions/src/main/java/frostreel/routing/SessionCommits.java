package frostreel.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Commits that the reads of a session must see, remembered from the writes that went through this router. Owned by
 * {@link Freshness}. Positions and times are microseconds on one clock.
 *
 * <p>After the response to a write has arrived, reads of its session must see its commit. The outcome of a write that
 * is in flight, or that ended without a known effect, is unknown: its server may have responded and the response may be
 * lost. The content of a response counts as known {@link Router#KNOWN_AFTER_US} after it was written, whether or not it
 * arrived. Until the outcome of such a write is settled, reads of its session must therefore see everything committed
 * up to that long ago.
 */
final class SessionCommits {
    /** Added to commits, in microseconds: they are reported in milliseconds, an error of up to 1 ms. */
    private static final long ROUNDING_US = 1_000;
    /**
     * Maximum number of sessions. Beyond it the sessions whose last write was sent earliest are dropped, and reads of
     * all sessions must then see their commits, as with expired sessions.
     */
    static final int MAX_SESSIONS = 1 << 16;

    private static final class SessionWrites {
        long lastCommitUs;
        int inFlight;
        /** Time since which at least one write is in flight. */
        long inFlightSinceUs;
        /** Time until which the server may still respond to writes that ended with unknown outcome. */
        long unknownOutcomeUntilUs;

        /** Returns the latest time at which the writes may have committed, if none is in flight. */
        long latestPossibleCommitUs() {
            return Math.max(lastCommitUs, unknownOutcomeUntilUs);
        }
    }

    /** Ordered by the last write sent, the oldest first. */
    private final LinkedHashMap<Long, SessionWrites> sessions = new LinkedHashMap<>();
    /** Position that reads of every session must see, because of the sessions that were dropped. */
    private long minPositionUs;

    /** Records that a write of the session was sent. */
    void recordSend(long nowUs, long session) {
        SessionWrites writes = sessions.remove(session); // Inserted again below, at the end.
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
     * Records the end of a write. If the write may have run and reported no commit, its outcome is unknown: its server
     * has responded by now or, if the write may still be running, responds by the deadline.
     *
     * @param commitUs the commit of the write, or {@link Router#NO_POSITION} if none was reported
     * @param retentionUs the age from which commits are dropped; reads of all sessions must see them from then on
     */
    void recordOutcome(
            long nowUs, long session, long deadlineUs, Router.Outcome outcome, long commitUs, long retentionUs) {
        SessionWrites writes = sessions.get(session);
        if (writes != null) { // All reads must see the commits of dropped sessions already.
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

    /** Returns the position that a read of the session must see now, or {@link Router#NO_POSITION}. */
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

    /** Returns the number of remembered sessions. */
    int size() {
        return sessions.size();
    }
}
