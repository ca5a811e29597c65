package frostreel.routing;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * Logs what this router sends to starting members and what it refuses to send: one line for each such member in an
 * overload window in which anything happened, at most {@link #MAX_LINES_PER_WINDOW} for all members together.
 * Deterministic; the text is built only for lines that are written.
 */
final class SlowStartLog {
    /** Limits the lines while a large part of a fleet starts at once. */
    static final int MAX_LINES_PER_WINDOW = 10;

    private static final double US_PER_MS = 1e3;

    /** What happened to one member since its last line; created by {@link SlowStart}. */
    static final class Events {
        private long beganUs;
        private long notifiedUs;
        private int sent;
        private double chargedUs;
        private int begunLate;
        private long longestWaitUs;
        private int refusedAtBegin;
        private int refusals;
        private int responses;
        private long responseTimeUs;

        /** Starts over, since the endpoint list has just reported a start of the member. */
        void onStart(long nowUs) {
            clear(nowUs);
            notifiedUs = nowUs;
        }

        /** An attempt was sent, for which this work was charged, in microseconds. */
        void onSent(double workUs) {
            sent++;
            chargedUs += workUs;
        }

        /** An attempt was admitted that had been sent so long ago and waited for its connection since. */
        void onBegunLate(long waitedUs) {
            begunLate++;
            longestWaitUs = Math.max(longestWaitUs, waitedUs);
        }

        /** An attempt that had waited for its connection was refused. */
        void onRefusedAtBegin() {
            refusedAtBegin++;
        }

        /** A request was refused for lack of budget. */
        void onRefused() {
            refusals++;
        }

        /** The member responded to an attempt. */
        void onResponse(long tookUs) {
            responses++;
            responseTimeUs += tookUs;
        }

        private void clear(long nowUs) {
            beganUs = nowUs;
            sent = 0;
            chargedUs = 0;
            begunLate = 0;
            longestWaitUs = 0;
            refusedAtBegin = 0;
            refusals = 0;
            responses = 0;
            responseTimeUs = 0;
        }

        private boolean isEmpty() {
            return sent + begunLate + refusedAtBegin + refusals + responses == 0;
        }
    }

    /** Supplies the member's present budget for a line; not called for lines that are not written. */
    interface Description {
        /** Returns the budget and what it is derived from, as the middle part of a line. */
        String text();
    }

    private final Consumer<String> output;
    private long windowBeganUs;
    private int lines;
    private int suppressed;

    /** {@code output} takes each line, without a line end. */
    SlowStartLog(Consumer<String> output) {
        this.output = output;
    }

    /** Logs what happened to a member if its last line is at least one window ago. */
    void writeIfDue(long nowUs, long windowUs, String memberId, Events events, Description budget) {
        if (nowUs - events.beganUs < windowUs) {
            return;
        }
        if (!events.isEmpty() && admitsLine(nowUs, windowUs)) {
            output.accept(line(nowUs, memberId, events, budget));
            suppressed = 0;
        }
        events.clear(nowUs);
    }

    private boolean admitsLine(long nowUs, long windowUs) {
        if (nowUs - windowBeganUs >= windowUs) {
            windowBeganUs = nowUs;
            lines = 0;
        }
        if (lines == MAX_LINES_PER_WINDOW) {
            suppressed++;
            return false;
        }
        lines++;
        return true;
    }

    private String line(long nowUs, String memberId, Events events, Description budget) {
        double meanMs = events.responses == 0 ? 0 : events.responseTimeUs / US_PER_MS / events.responses;
        String text = String.format(
                Locale.ROOT,
                "slow start of %s: notified %.0f ms ago, %s; in %.0f ms %d sent (%.1f ms charged), %d begun after up to"
                        + " %.0f ms, %d refused at their begin, %d refusals, %d responses (%.1f ms)",
                memberId,
                (nowUs - events.notifiedUs) / US_PER_MS,
                budget.text(),
                (nowUs - events.beganUs) / US_PER_MS,
                events.sent,
                events.chargedUs / US_PER_MS,
                events.begunLate,
                events.longestWaitUs / US_PER_MS,
                events.refusedAtBegin,
                events.refusals,
                events.responses,
                meanMs);
        return suppressed == 0 ? text : text + " (" + suppressed + " more before)";
    }
}
