package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.net.EventLoop;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The size limits and the arrival times of a client's backlog, with a manual clock. */
class ClientBacklogTest {
    private static final int MIB = 1 << 20;
    private static final int KIB = 1 << 10;
    private long nowUs = 1_000_000;
    private EventLoop loop;
    private ClientBacklog backlog;

    @BeforeEach
    void begin() throws Exception {
        loop = new EventLoop(() -> nowUs);
        backlog = new ClientBacklog(loop);
    }

    @AfterEach
    void end() throws Exception {
        loop.shutDown();
    }

    private static byte[] query(String text) {
        return Messages.query((text + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    private void read(byte[] bytes) {
        backlog.add(ByteBuffer.wrap(bytes));
        backlog.onReadCompleted();
    }

    @Test
    void keepsTheArrivalTimeOfEachMessage() throws Exception {
        read(query("first"));
        nowUs += 50_000;
        read(query("second"));
        nowUs += 50_000;
        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.arrivedUs()).isEqualTo(1_000_000);
        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.arrivedUs()).isEqualTo(1_050_000);
        assertThat(backlog.next(false)).isFalse();
        assertThat(backlog.isEmpty()).isTrue();
    }

    @Test
    void overrunsBeyondOneMebibyte() {
        read(new byte[MIB]);
        assertThat(backlog.checkOverrun()).isFalse();
        read(new byte[1]);
        assertThat(backlog.checkOverrun()).isTrue();
        assertThat(backlog.isOverrun()).isTrue();
    }

    @Test
    void overrunsSoonerWhileTheBuffersOfAllClientsAreFull() {
        while (!loop.buffers().holdsBackInput()) {
            loop.buffers().account().set(Integer.MAX_VALUE);
        }
        read(new byte[64 * KIB]);
        assertThat(backlog.checkOverrun()).isFalse();
        read(new byte[1]);
        assertThat(backlog.checkOverrun()).isTrue();
    }

    @Test
    void rejectsMessageOfATypeThatClientsDoNotSend() {
        read(new byte[] {'Z', 0, 0, 0, 5, 'I'});
        assertThatThrownBy(() -> backlog.next(false)).isInstanceOf(PgException.class);
    }
}
