package frostreel.lab.processes;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/** One command at an admin endpoint: sends a line, and reads the line that answers it, empty if there is none. */
final class AdminCall implements SocketStream.Handler {
    private final Consumer<String> answer;
    private final StringBuilder received = new StringBuilder();
    private boolean answered;

    private AdminCall(Consumer<String> answer) {
        this.answer = answer;
    }

    /** Connects and sends the line; {@code answer} takes the answer once the connection has ended. */
    static void make(EventLoop loop, InetSocketAddress endpoint, String line, Consumer<String> answer) {
        AdminCall call = new AdminCall(answer);
        IoFuture<StreamConnection> connecting = loop.thread().openStreamConnection(endpoint, null, OptionMap.EMPTY);
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        SocketStream stream = new SocketStream(loop, connection, call);
                        stream.resumeReads();
                        stream.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                    }

                    @Override
                    public void handleFailed(IOException failure, Void none) {
                        call.ended();
                    }
                },
                null);
    }

    @Override
    public void received(ByteBuffer in) {
        received.append(StandardCharsets.US_ASCII.decode(in));
    }

    /** The pooler ends the connection after its answer. */
    @Override
    public void ended() {
        if (!answered) {
            answered = true;
            answer.accept(received.toString().trim());
        }
    }
}
