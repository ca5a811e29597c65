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

/** A server or a discovery agent that responds by a script. */
final class ScriptedPeer {
    /** How the peer responds to one message, on the connection that it arrived by. */
    interface Script {
        void respond(String text, WireConnection link) throws IOException;
    }

    final ServerSocket listener;
    /** The messages that arrived, without health checks. */
    final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    /** One entry for each connection that has ended. */
    final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();
    /** How many connections were accepted. */
    final AtomicInteger connections = new AtomicInteger();

    volatile Script script;
    /** How a server responds to the startup message. */
    volatile Script handshake = (text, link) -> link.completeHandshake();

    private final Thread acceptor;

    ScriptedPeer(boolean database, Script script) throws IOException {
        this(database, script, 0);
    }

    /** Listens at {@code port}, 0 for any free one. */
    ScriptedPeer(boolean database, Script script, int port) throws IOException {
        this.script = script;
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        acceptor = PoolerHarness.spawn(() -> {
            while (true) {
                WireConnection link = new WireConnection(listener.accept());
                connections.incrementAndGet();
                PoolerHarness.spawn(() -> {
                    try (link) {
                        serve(link, database);
                    } finally {
                        closedConnections.add("closed");
                    }
                });
            }
        });
    }

    private void serve(WireConnection link, boolean database) throws IOException {
        link.socket.setSoTimeout(0);
        if (database) {
            link.in.readNBytes(link.in.readInt() - 4);
            handshake.respond("", link);
        }
        while (true) {
            String text = database ? link.take() : requestLine(link.in);
            if (!text.equals("QSHOW load|")) { // Health checks arrive at any time.
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
        return received.poll(PoolerHarness.PATIENCE_S, TimeUnit.SECONDS);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Once this returns, connections are refused; while the acceptor runs, the port stays open. */
    void close() throws Exception {
        listener.close();
        acceptor.join();
    }
}
