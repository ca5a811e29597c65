package frostreel.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limits on queued records and on records per second, with a manual clock and a target that can be blocked. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LogQueueTest {
    private static final long SECOND_NS = 1_000_000_000;

    private final BlockingQueue<String> written = new LinkedBlockingQueue<>();
    private final CountDownLatch targetUnblocked = new CountDownLatch(1);
    private final AtomicLong nowNs = new AtomicLong();
    private final Handler target = new StreamHandler() {
        @Override
        public void publish(LogRecord entry) {
            try {
                targetUnblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.add(entry.getMessage());
            if (entry.getMessage().equals("unwritable")) {
                throw new IllegalStateException("on purpose");
            }
        }
    };
    private final LogQueue queue = new LogQueue(target, nowNs::get);

    private void publish(int count) {
        for (int i = 0; i < count; i++) {
            publish("line " + i);
        }
    }

    private void publish(String text) {
        queue.publish(new LogRecord(Level.INFO, text));
    }

    private List<String> takeWritten(int count) throws InterruptedException {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(written.take());
        }
        return lines;
    }

    @Test
    void acceptsTwoHundredRecordsASecondAndReportsTheDroppedOnes() throws Exception {
        targetUnblocked.countDown();
        publish(LogQueue.MAX_RECORDS_PER_SECOND);
        assertThat(takeWritten(LogQueue.MAX_RECORDS_PER_SECOND))
                .startsWith("line 0")
                .endsWith("line 199");
        publish(3);
        assertThat(queue.dropped()).isEqualTo(3);
        nowNs.addAndGet(SECOND_NS);
        publish("next second");
        assertThat(takeWritten(2))
                .containsExactly("3 log lines were dropped: over 200 a second, or written too slowly", "next second");
    }

    @Test
    void dropsRecordsWhileItsTargetIsBlockedInsteadOfBlocking() throws Exception {
        int published = LogQueue.CAPACITY + 2; // The writer may hold one record besides the queued ones.
        for (int i = 0; i < published; i++) {
            nowNs.addAndGet(SECOND_NS);
            publish("line");
        }
        int dropped = (int) queue.dropped();
        assertThat(dropped).isBetween(1, 2);
        targetUnblocked.countDown();
        assertThat(takeWritten(published - dropped + 1))
                .filteredOn(line -> !line.equals("line"))
                .containsExactly(dropped + " log lines were dropped: over 200 a second, or written too slowly");
    }

    @Test
    void continuesAfterARecordThatItsTargetCannotWrite() throws Exception {
        queue.setErrorManager(new ErrorManager() {
            @Override
            public void error(String message, Exception cause, int code) {}
        });
        targetUnblocked.countDown();
        publish("unwritable");
        publish("good");
        assertThat(takeWritten(2)).containsExactly("unwritable", "good");
    }
}
