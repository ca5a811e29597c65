package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.net.EventLoop;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
    void readsAheadUpToOneMebibyte() {
        read(new byte[MIB - 1]);
        assertThat(backlog.readAheadBytes()).isEqualTo(1);
        read(new byte[1]);
        assertThat(backlog.readAheadBytes()).isZero();
    }

    private void fillBuffers() {
        while (!loop.buffers().rejectsRequests()) {
            loop.buffers().account().set(Integer.MAX_VALUE);
        }
    }

    @Test
    void growsOnlyTo64KibibytesWhileTheBuffersOfAllClientsAreFull() {
        fillBuffers();
        read(new byte[64 * KIB]);
        assertThat(backlog.mayGrow()).isTrue();
        read(new byte[1]);
        assertThat(backlog.mayGrow()).isFalse();
    }

    /** Guards against incomplete messages of many slow clients that exhaust the heap together. */
    @Test
    void discardsLongIncompleteQueryAndKeepsWhatFollows() throws Exception {
        byte[] query = query("x".repeat(128 * KIB));
        read(Arrays.copyOf(query, 100 * KIB));
        assertThat(backlog.next(false)).isFalse();
        fillBuffers();
        backlog.trim();
        long heldBytes = loop.buffers().heldBytes();

        backlog.discardLongIncompleteQuery();

        assertThat(heldBytes - loop.buffers().heldBytes()).isGreaterThan(90 * KIB);
        assertThat(backlog.isEmpty()).isFalse();
        read(Arrays.copyOfRange(query, 100 * KIB, query.length - 1));
        assertThat(backlog.next(false)).isFalse();
        read(new byte[] {query[query.length - 1]});
        read(query("next"));
        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.message().isDiscarded()).isTrue();
        assertThat(backlog.message().body()).isEmpty();
        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.message().isDiscarded()).isFalse();
        assertThat(backlog.message().body()).isEqualTo("next\0".getBytes(StandardCharsets.US_ASCII));
        assertThat(backlog.isEmpty()).isTrue();
    }

    @Test
    void keepsCompleteAndShortQueriesWhileTheBuffersAreFull() throws Exception {
        fillBuffers();
        read(query("x".repeat(128 * KIB)));
        backlog.discardLongIncompleteQuery();
        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.message().isDiscarded()).isFalse();
        read(Arrays.copyOf(query("x".repeat(128 * KIB)), 8 * KIB));
        backlog.discardLongIncompleteQuery();
        assertThat(backlog.message().isDiscarding()).isFalse();
    }

    /** Guards against buffers of long messages that stay allocated while their client is idle. */
    @Test
    void givesBackTheMemoryOfTakenMessages() throws Exception {
        long idleBytes = loop.buffers().heldBytes();
        read(query("x".repeat(128 * KIB)));
        backlog.trim();
        assertThat(loop.buffers().heldBytes()).isGreaterThan(128 * KIB);

        assertThat(backlog.next(false)).isTrue();
        backlog.trim();

        assertThat(loop.buffers().heldBytes() - idleBytes).isLessThanOrEqualTo(4 * KIB);
    }

    @Test
    void keepsTheBytesBehindATakenMessageWhenMemoryIsGivenBack() throws Exception {
        byte[] next = query("next");
        read(query("x".repeat(128 * KIB)));
        read(Arrays.copyOf(next, next.length - 1));
        assertThat(backlog.next(false)).isTrue();

        backlog.trim();
        read(new byte[] {next[next.length - 1]});

        assertThat(backlog.next(false)).isTrue();
        assertThat(backlog.message().body()).isEqualTo("next\0".getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against buffers that take twice the length of a message which arrives in small pieces. */
    @Test
    void allocatesAtMostAQuarterMoreThanHasArrived() {
        for (int i = 0; i < 128; i++) {
            read(new byte[KIB]);
        }
        backlog.trim();
        assertThat(loop.buffers().heldBytes()).isLessThanOrEqualTo((128 + 32 + 1) * KIB);
    }

    @Test
    void rejectsMessageOfATypeThatClientsDoNotSend() {
        read(new byte[] {'Z', 0, 0, 0, 5, 'I'});
        assertThatThrownBy(() -> backlog.next(false)).isInstanceOf(PgException.class);
    }
}
