package frostreel;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A database server or discovery agent that responds as a script defines. */
final class ScriptedPeer {
    /** Protocol of the peer. */
    enum Protocol {
        POSTGRESQL,
        HTTP
    }

    /** Sends the response to one message on the connection that received it. */
    interface Script {
        void respond(String text, WireConnection link) throws IOException;
    }

    private static final int ANY_PORT = 0;
    private static final int BACKLOG = 50;
    private static final String HEALTH_CHECK = "QSHOW load|";

    final ServerSocket listener;
    /** Messages that arrived, except health checks. */
    final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    /** One entry for each connection that has ended. */
    final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();
    /** Number of connections accepted. */
    final AtomicInteger connections = new AtomicInteger();

    volatile Script script;
    /** Response of a server to the startup message. */
    volatile Script handshake = (text, link) -> link.completeHandshake();

    private final Thread acceptor;

    /** Listens on a free port of the loopback address. */
    ScriptedPeer(Protocol protocol, Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(ANY_PORT, BACKLOG, InetAddress.getLoopbackAddress());
        acceptor = PoolerHarness.spawn(() -> {
            while (true) {
                WireConnection link = new WireConnection(listener.accept());
                connections.incrementAndGet();
                PoolerHarness.spawn(() -> {
                    try (link) {
                        serve(link, protocol);
                    } finally {
                        closedConnections.add("closed");
                    }
                });
            }
        });
    }

    private void serve(WireConnection link, Protocol protocol) throws IOException {
        link.socket.setSoTimeout(0);
        if (protocol == Protocol.POSTGRESQL) {
            link.in.readNBytes(link.in.readInt() - 4);
            handshake.respond("", link);
        }
        while (true) {
            String text = protocol == Protocol.POSTGRESQL ? link.take() : requestLine(link.in);
            if (!text.equals(HEALTH_CHECK)) { // Health checks arrive at any time.
                received.add(text);
            }
            script.respond(text, link);
        }
    }

    /** Reads the head of an HTTP request and returns its first line. */
    private static String requestLine(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    /** Waits for the next message that arrives, and returns it. */
    String next() throws InterruptedException {
        return received.poll(PoolerHarness.TIMEOUT_S, TimeUnit.SECONDS);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Stops listening. Waits for the acceptor, because the port stays open until its call of accept returns. */
    void close() throws Exception {
        listener.close();
        acceptor.join();
    }
}
