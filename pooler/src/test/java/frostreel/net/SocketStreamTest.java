package frostreel.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/** The memory of output that a peer does not read. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SocketStreamTest {
    private static final int PIECE_BYTES = 1 << 20;

    private EventLoop loop;
    private ServerSocket server;
    private Socket peer;
    private SocketStream stream;

    @BeforeEach
    void connect() throws Exception {
        loop = new EventLoop();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        StreamConnection connection = loop.thread()
                .openStreamConnection(address, null, OptionMap.EMPTY)
                .get();
        peer = server.accept();
        stream = onLoop(() -> new SocketStream(loop, connection, new IgnoringHandler()));
    }

    @AfterEach
    void close() throws Exception {
        peer.close();
        server.close();
        loop.shutDown();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.thread().execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get();
    }

    /** Writes until the socket accepts no more; returns the bytes of the pieces that it has not accepted whole. */
    private long fill() {
        while (stream.flushed()) {
            stream.write(new byte[PIECE_BYTES]);
        }
        stream.write(new byte[PIECE_BYTES]);
        return 2 * PIECE_BYTES;
    }

    /** Guards against output that counts for less than it occupies, once part of it has been written. */
    @Test
    void countsPartlyWrittenOutputAsWhole() throws Exception {
        assertThat(onLoop(() -> fill() - loop.buffers().heldBytes())).isZero();
        assertThat(onLoop(stream::pendingBytes)).isPositive();
    }

    @Test
    void holdsNoOutputAfterTheClose() throws Exception {
        onLoop(this::fill);

        boolean flushed = onLoop(() -> {
            stream.close();
            return stream.flushed();
        });

        assertThat(flushed)
                .as("whether the output was written before the close")
                .isFalse();
        assertThat(onLoop(loop.buffers()::heldBytes)).isZero();
        assertThat(onLoop(stream::pendingBytes)).isZero();
    }

    /** A handler of a stream that is never read. */
    private static final class IgnoringHandler implements SocketStream.Handler {
        @Override
        public void received(ByteBuffer in) {
            in.position(in.limit());
        }

        @Override
        public void ended() {}
    }
}
