package frostreel.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The rate limit of log lines, with a manual clock. */
class EventLogTest {
    private static final long SECOND_US = 1_000_000;

    private final Logger logger = Logger.getLogger(EventLog.class.getName());
    private final List<String> lines = new ArrayList<>();
    private final Handler recorder = new Handler() {
        @Override
        public void publish(LogRecord entry) {
            lines.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private long nowUs;
    private final EventLog log = new EventLog(() -> nowUs);

    @BeforeEach
    void startRecording() {
        logger.addHandler(recorder);
    }

    @AfterEach
    void stopRecording() {
        logger.removeHandler(recorder);
    }

    private void record(EventLog.Kind kind, int count) {
        for (int i = 0; i < count; i++) {
            log.record(kind, () -> "text");
        }
    }

    @Test
    void writesTwoLinesOfEachKindASecond() {
        record(EventLog.Kind.REQUEST_FAILED, 5);
        record(EventLog.Kind.CLIENT_CLOSED, 3);
        assertThat(lines)
                .containsExactly(
                        "REQUEST_FAILED text", "REQUEST_FAILED text", "CLIENT_CLOSED text", "CLIENT_CLOSED text");
    }

    @Test
    void nextLineOfAKindReportsHowManyWereSuppressed() {
        record(EventLog.Kind.REQUEST_FAILED, 5);
        nowUs = SECOND_US - 1;
        record(EventLog.Kind.REQUEST_FAILED, 1);
        lines.clear();
        nowUs = SECOND_US;
        record(EventLog.Kind.REQUEST_FAILED, 2);
        assertThat(lines).containsExactly("REQUEST_FAILED text (4 more before)", "REQUEST_FAILED text");
    }

    @Test
    void doesNotBuildTheTextOfASuppressedLine() {
        record(EventLog.Kind.REQUEST_FAILED, EventLog.MAX_LINES_PER_SECOND);
        log.record(EventLog.Kind.REQUEST_FAILED, () -> {
            throw new AssertionError("built");
        });
        assertThat(lines).hasSize(EventLog.MAX_LINES_PER_SECOND);
    }

    @Test
    void silentLogWritesNothing() {
        EventLog silent = EventLog.silent();
        silent.record(EventLog.Kind.REQUEST_FAILED, () -> "text");
        assertThat(lines).isEmpty();
    }
}
