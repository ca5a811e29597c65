package frostreel.log;

import java.util.Arrays;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Lines on single requests and connections that did not end as wished, with the reason for it. At most
 * {@link #MOST_A_SECOND} of each kind a second are written; how many were left out is told with the next one
 * of that kind. Owned by the I/O thread.
 */
public final class EventLog {
    /** What happened. */
    public enum Kind {
        REQUEST_REFUSED,
        REQUEST_FAILED,
        REQUEST_OVERDUE,
        REQUEST_WITHDRAWN,
        ATTEMPT_FAILED,
        CLIENT_CLOSED,
        SERVER_CONNECTION_FAILED
    }

    /** So many lines of one kind a second. */
    static final int MOST_A_SECOND = 2;

    private static final long SECOND_US = 1_000_000;
    private static final Logger LOG = Logger.getLogger(EventLog.class.getName());
    private final LongSupplier nowUs;
    private final long[] secondUs = new long[Kind.values().length];
    private final int[] inSecond = new int[Kind.values().length];
    private final long[] leftOut = new long[Kind.values().length];

    /** {@code nowUs}: microseconds on a clock that never goes back. */
    public EventLog(LongSupplier nowUs) {
        this.nowUs = nowUs;
    }

    /** Writes nothing, for those who play requests in virtual time. */
    public static EventLog silent() {
        EventLog log = new EventLog(() -> 0);
        Arrays.fill(log.inSecond, MOST_A_SECOND);
        return log;
    }

    /** Writes a line, if there is room for it; only then is its text made. */
    public void tell(Kind kind, Supplier<String> text) {
        int k = kind.ordinal();
        long now = nowUs.getAsLong();
        if (now - secondUs[k] >= SECOND_US) {
            secondUs[k] = now;
            inSecond[k] = 0;
        }
        if (inSecond[k] == MOST_A_SECOND) {
            leftOut[k]++;
            return;
        }
        inSecond[k]++;
        String before = leftOut[k] == 0 ? "" : " (" + leftOut[k] + " more before)";
        leftOut[k] = 0;
        LOG.info(kind + " " + text.get() + before);
    }
}
