package frostreel.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Logs individual requests and connections that failed or were ended early, with the reason. At most {@link
 * #MAX_LINES_PER_SECOND} lines of each kind are written per second; the next line of that kind reports how many were
 * suppressed. Confined to the I/O thread.
 */
public final class EventLog {
    /** Kind of an event; its name is the first word of the line. */
    public enum Kind {
        /** A request was rejected without a server's response. */
        REQUEST_REJECTED,
        /** The router failed a request, which may or may not have been executed. */
        REQUEST_FAILED,
        /** The router left a request open for too long past its deadline, so the broker failed it. */
        REQUEST_OVERDUE,
        /** The client cancelled its request or disconnected. */
        REQUEST_CANCELLED,
        /** One attempt failed; the request may be retried. */
        ATTEMPT_FAILED,
        /** This process closed a client connection. */
        CLIENT_CLOSED,
        /** A connection to a server could not be established. */
        SERVER_CONNECTION_FAILED
    }

    static final int MAX_LINES_PER_SECOND = 2;

    private static final long WINDOW_US = 1_000_000;
    private static final Logger LOG = Logger.getLogger(EventLog.class.getName());

    /** The lines of one kind in the current second. */
    private static final class Window {
        private long startUs;
        private int lines;
        /** Number of lines suppressed since the last one that was written. */
        private long suppressed;

        boolean admits(long nowUs) {
            if (nowUs - startUs >= WINDOW_US) {
                startUs = nowUs;
                lines = 0;
            }
            if (lines == MAX_LINES_PER_SECOND) {
                suppressed++;
                return false;
            }
            lines++;
            return true;
        }

        long takeSuppressed() {
            long count = suppressed;
            suppressed = 0;
            return count;
        }
    }

    private final LongSupplier nowUs;
    private final Map<Kind, Window> windows = new EnumMap<>(Kind.class);

    /** {@code nowUs}: returns microseconds of a monotonic clock. */
    public EventLog(LongSupplier nowUs) {
        this.nowUs = nowUs;
        for (Kind kind : Kind.values()) {
            windows.put(kind, new Window());
        }
    }

    /**
     * Returns a log that writes nothing, for brokers in virtual time: its clock stands still, so the limit of each
     * kind stays reached.
     */
    public static EventLog silent() {
        EventLog log = new EventLog(() -> 0);
        log.windows.values().forEach(window -> window.lines = MAX_LINES_PER_SECOND);
        return log;
    }

    /** Writes a line unless the limit of its kind is reached; {@code text} is built only if the line is written. */
    public void record(Kind kind, Supplier<String> text) {
        Window window = windows.get(kind);
        if (!window.admits(nowUs.getAsLong())) {
            return;
        }
        String message = text.get();
        long suppressed = window.takeSuppressed();
        LOG.info(kind + " " + message + (suppressed == 0 ? "" : " (" + suppressed + " more before)"));
    }
}
