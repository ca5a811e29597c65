package frostreel.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * What the reads of sessions must see of the writes that went through this router, where the settings have it
 * remember them. Owned by {@link ChainRouter}; it decides nothing. Positions and times are microseconds on one
 * clock.
 *
 * <p>A write whose answer has come binds by its commit. One that is out, or that ended with no word on its
 * effect, is in doubt: its server may have answered, and the answer may be lost on the way. What an answer
 * tells counts as known {@link Router#KNOWN_AFTER_US} after it was written, arrived or not, so until it is
 * settled such a write binds to all that was committed up to that long ago.
 */
final class SessionCommits {
    /** Commits are told in milliseconds. */
    private static final long ROUNDING_US = 1_000;
    /** So many sessions are kept; beyond it the longest unused bind all, as those that have aged do. */
    static final int MOST = 1 << 16;

    private static final class Mark {
        long commitUs;
        int out;
        /** Since when a write is out, and until when those that ended in doubt may be answered. */
        long outSinceUs;

        long doubtUntilUs;

        /** The latest commit that its writes may have, now that none is out. */
        long latestUs() {
            return Math.max(commitUs, doubtUntilUs);
        }
    }

    /** The longest unused first. */
    private final LinkedHashMap<Long, Mark> marks = new LinkedHashMap<>();
    /** Binds every session, for those that were dropped. */
    private long floorUs;

    /** A write of the session goes out. */
    void sent(long now, long session) {
        Mark m = marks.remove(session);
        m = m == null ? new Mark() : m;
        marks.put(session, m);
        m.outSinceUs = m.out++ == 0 ? now : m.outSinceUs;
    }

    /**
     * A write that went out has ended: with its commit, or 0 where that was not told. One that may have run,
     * and has no commit, is in doubt: its server answered by now, or, where it may run on, answers by its
     * deadline. What is not needed for so long is forgotten, and binds all.
     */
    void ended(long now, long session, long deadlineUs, Router.Outcome outcome, long commitUs, long keepUs) {
        Mark m = marks.get(session);
        if (m != null) { // Else it was dropped for want of room, and binds all.
            m.out = Math.max(0, m.out - 1);
            boolean told = outcome == Router.Outcome.OK && commitUs > 0;
            boolean runsOn = outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.CANCELLED;
            m.commitUs = told ? Math.max(m.commitUs, commitUs) : m.commitUs;
            m.doubtUntilUs = told || outcome.provesNotRun
                    ? m.doubtUntilUs
                    : Math.max(m.doubtUntilUs, runsOn ? Math.max(now, deadlineUs) : now);
        }
        for (Iterator<Mark> oldest = marks.values().iterator(); oldest.hasNext(); ) {
            Mark o = oldest.next();
            boolean aged = o.out == 0 && o.latestUs() < now - keepUs;
            if (!aged && marks.size() <= MOST) {
                break;
            }
            floorUs = Math.max(floorUs, o.out == 0 ? o.latestUs() : now + keepUs);
            oldest.remove();
        }
    }

    /** The position that a read of the session must see now, 0 for any. */
    long need(long now, long session) {
        Mark m = marks.get(session);
        long need = Math.min(floorUs, now);
        if (m == null) {
            return need;
        }
        if (m.commitUs > 0) {
            need = Math.max(need, m.commitUs + ROUNDING_US);
        }
        long known = now - Router.KNOWN_AFTER_US;
        if (m.out > 0 && m.outSinceUs < known) {
            need = Math.max(need, known);
        }
        return Math.max(need, Math.min(known, m.doubtUntilUs));
    }

    int size() {
        return marks.size();
    }
}
