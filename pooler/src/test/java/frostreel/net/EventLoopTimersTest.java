package frostreel.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Guards against timers that starve the sockets of the event loop. XNIO runs a timer that is due in less than a
 * millisecond at once. Its deadline is not reached then, so the timer is set again and runs at once again, and the
 * sockets are not read meanwhile.
 */
class EventLoopTimersTest {
    /** Number of timers, each of which sets the next. */
    private static final int TIMER_COUNT = 2_000;
    /** Less than XNIO's resolution of one millisecond. */
    private static final long TIMER_US = 500;

    private final CompletableFuture<Boolean> readInTime = new CompletableFuture<>();
    private EventLoop loop;
    private boolean read;

    private void scheduleTimers(int remaining) {
        if (read || remaining == 0) {
            readInTime.complete(read);
        } else {
            loop.deadlines().after(TIMER_US, () -> scheduleTimers(remaining - 1));
        }
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            SocketStream stream = new SocketStream(loop, from.accept(), new SocketStream.Handler() {
                @Override
                public void received(ByteBuffer in) {
                    in.position(in.limit());
                    read = true;
                }

                @Override
                public void ended() {
                    readInTime.completeExceptionally(new IOException("the connection ended"));
                }
            });
            stream.resumeReads(); // The client has sent its byte already.
            scheduleTimers(TIMER_COUNT);
        } catch (IOException e) {
            readInTime.completeExceptionally(e);
        }
    }

    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    @Test
    void consecutiveShortTimersDoNotDelaySockets() throws Exception {
        loop = new EventLoop();
        AcceptingChannel<StreamConnection> server = loop.worker()
                .createStreamConnectionServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this::accept, OptionMap.EMPTY);
        try (Socket client = new Socket()) {
            client.connect(server.getLocalAddress());
            client.getOutputStream().write(1);
            server.resumeAccepts();
            assertThat(readInTime.get()).isTrue();
        } finally {
            loop.shutDown();
        }
    }
}
