package frostreel.operation;

import frostreel.routing.Router;

/**
 * What the processes that serve beside each other as one pooler, or after each other, tell each other of the
 * writes that they carry, in memory that all of them map. Owned by the loop of its process.
 *
 * <p>Each process has a place there, in which it alone writes, and a place has slots for sessions by their
 * numbers; those that share one only bind each other too. A slot holds the latest commit that was answered,
 * until when a write that ended without a word may be answered, since when a write is out, and until when
 * such a one may be answered. A place is written before an attempt's first byte and before its answer's, so
 * it is true at every moment, also of a process that was killed or stands still: what that had in hand binds
 * until the deadlines of those writes. Own writes bind nothing here: they are known where they were sent.
 *
 * <p>What earlier lives left is as good as what others that live say: a commit of long ago binds to what
 * every member has. A new life takes the place that was longest without a beat, and loses nothing of what is
 * in it: that goes on binding it, and its own marks are laid over it by maxima.
 */
public final class SharedCommitTable implements WriteObserver, Router.PeerCommits {
    /** Where nothing can be known of the others, what counts as known may be theirs, at any time. */
    public static final Router.PeerCommits UNKNOWN_PEERS = (nowUs, session) -> nowUs - Router.KNOWN_AFTER_US;
    /** Commits are told in milliseconds. */
    private static final long COMMIT_ROUNDING_US = 1_000;

    static final int REGIONS = 4;
    private static final int SLOT_BITS = 9;
    private static final int SLOTS = 1 << SLOT_BITS;
    /** Spreads sessions over slots, whatever their pattern: 2^64 over the golden ratio. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;
    /** A place begins with these; its slots follow. */
    private static final int LIFE = 0;

    private static final int BEAT = 1;
    private static final int HEAD = 2;
    /** What a slot holds. */
    private static final int ANSWERED = 0;

    private static final int DOUBT_UNTIL = 1;
    private static final int OUT_SINCE = 2;
    private static final int OUT_UNTIL = 3;
    private static final int SLOT = 4;
    private static final int PLACE = HEAD + SLOTS * SLOT;
    /** So many longs it needs. */
    public static final int LONGS = REGIONS * PLACE;

    private final SharedMemoryLongs longs;
    private final long life;
    /** Where this life's place begins. */
    private int own;
    /** How many writes of each slot are out here, since when there is one, and their latest deadline. */
    private final int[] out = new int[SLOTS];

    private final long[] outSince = new long[SLOTS];
    private final long[] outUntil = new long[SLOTS];
    /** What others had written into this life's place before; they are in no other. */
    private final long[] answeredBefore = new long[SLOTS];

    private final long[] doubtBefore = new long[SLOTS];

    /** {@code life}: a number other than 0 that no other life has or had. */
    public SharedCommitTable(SharedMemoryLongs longs, long life, long nowUs) {
        this.longs = longs;
        this.life = life;
        claim(nowUs);
    }

    private void claim(long now) {
        long before;
        do {
            own = 0;
            for (int place = 0; place < LONGS; place += PLACE) {
                own = longs.get(place + BEAT) < longs.get(own + BEAT) ? place : own;
            }
            before = longs.get(own + LIFE);
            longs.set(own + BEAT, now);
        } while (!longs.compareAndSet(own + LIFE, before, life));
        for (int slot = 0; slot < SLOTS; slot++) {
            int at = own + HEAD + slot * SLOT;
            raise(at + DOUBT_UNTIL, longs.get(at + OUT_SINCE) > 0 ? longs.get(at + OUT_UNTIL) : 0);
            answeredBefore[slot] = Math.max(answeredBefore[slot], longs.get(at + ANSWERED));
            doubtBefore[slot] = Math.max(doubtBefore[slot], longs.get(at + DOUBT_UNTIL));
            raise(at + OUT_UNTIL, outUntil[slot]);
            longs.set(at + OUT_SINCE, out[slot] > 0 ? outSince[slot] : 0);
        }
    }

    /** One that stood still while many others began may find its place taken: it takes another. */
    private void hold(long now) {
        if (longs.get(own + LIFE) != life) {
            claim(now);
        }
    }

    private static int slot(long session) {
        return (int) (session * SPREAD >>> Long.SIZE - SLOT_BITS);
    }

    private void raise(int index, long to) {
        long from = longs.get(index);
        while (from < to && !longs.compareAndSet(index, from, to)) {
            from = longs.get(index);
        }
    }

    @Override
    public void onSent(long nowUs, long session, long deadlineUs) {
        hold(nowUs);
        int slot = slot(session);
        int at = own + HEAD + slot * SLOT;
        outUntil[slot] = Math.max(outUntil[slot], deadlineUs);
        raise(at + OUT_UNTIL, outUntil[slot]);
        if (out[slot]++ == 0) {
            outSince[slot] = nowUs;
            longs.set(at + OUT_SINCE, nowUs);
        }
    }

    /** What a write leaves is written before it stops being out, and read after. */
    @Override
    public void onEnded(long nowUs, long session, long deadlineUs, Router.Outcome outcome, long positionUs) {
        hold(nowUs);
        int slot = slot(session);
        int at = own + HEAD + slot * SLOT;
        if (outcome == Router.Outcome.OK) {
            raise(at + ANSWERED, positionUs > 0 ? positionUs : nowUs);
        } else if (!outcome.provesNotRun) {
            boolean runsOn = outcome == Router.Outcome.TIMEOUT || outcome == Router.Outcome.CANCELLED;
            raise(at + DOUBT_UNTIL, runsOn ? Math.max(nowUs, deadlineUs) : nowUs);
        }
        if (--out[slot] == 0) {
            longs.set(at + OUT_SINCE, 0);
        }
    }

    @Override
    public void onHeartbeat(long nowUs) {
        hold(nowUs);
        longs.set(own + BEAT, nowUs);
    }

    @Override
    public long boundUs(long nowUs, long session) {
        int slot = slot(session);
        long bound = bound(nowUs, answeredBefore[slot], doubtBefore[slot], 0, 0);
        for (int place = 0; place < LONGS; place += PLACE) {
            long writer = longs.get(place + LIFE);
            if (writer != 0 && writer != life) {
                int at = place + HEAD + slot * SLOT;
                long since = longs.get(at + OUT_SINCE);
                bound = Math.max(
                        bound,
                        bound(
                                nowUs,
                                longs.get(at + ANSWERED),
                                longs.get(at + DOUBT_UNTIL),
                                since,
                                since > 0 ? longs.get(at + OUT_UNTIL) : 0));
            }
        }
        return bound;
    }

    /** What a slot binds to; never to more than now, though its marks be of a clock that went back since. */
    private static long bound(long now, long answered, long doubtUntil, long outSince, long outUntil) {
        long known = now - Router.KNOWN_AFTER_US;
        long commit = answered > 0 ? Math.min(answered + COMMIT_ROUNDING_US, now) : 0;
        long doubt = Math.min(doubtUntil, known);
        long inHand = outSince < known ? Math.min(outUntil, known) : 0;
        return Math.max(Math.max(commit, doubt), inHand);
    }
}
