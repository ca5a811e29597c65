package frostreel.discovery;

import frostreel.broker.Deadlines;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One connection to discovery, with at most one call on it. It tells its owner, on the loop, what became of
 * it: each event at most once for a call, and none after {@link #close}.
 */
final class AgentConnection implements SocketStream.Handler {
    /** Who is told; each time with the connection that it is about. */
    interface Owner {
        /** It is up, and may be called on. */
        void connected(AgentConnection on);

        /** A whole response to the call came. */
        void responded(AgentConnection on, HttpResponse response);

        /** Neither the connection nor a whole response came within the patience; it goes on all the same. */
        void late(AgentConnection on, String why);

        /** It has ended, and is closed. */
        void failed(AgentConnection on, String why);
    }

    /** An answer of which bytes came within this time is on its way, for so long in all at the most. */
    private static final long ARRIVING_US = 500_000;

    private static final long ARRIVAL_MOST_US = 20_000_000;
    private final EventLoop loop;
    private final Owner owner;
    private final InetSocketAddress address;
    private final IoFuture<StreamConnection> connecting;
    private SocketStream stream;
    private HttpResponse response = new HttpResponse();
    private Deadlines.Deadline patience;
    private long index;
    private long heardUs;
    private long calledUs;
    private boolean closed;

    /** Begins to connect; {@code patienceUs}: after so long without a connection it is late. */
    AgentConnection(EventLoop loop, InetSocketAddress address, long patienceUs, Owner owner) {
        this.loop = loop;
        this.owner = owner;
        this.address = address;
        calledUs = loop.clock().now();
        heardUs = calledUs;
        patience = loop.deadlines().after(patienceUs, () -> owner.late(this, "no connection in time"));
        connecting = loop.thread().openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** Hears of the connection from now on; a separate step, so that the owner may first keep this. */
    void begin() {
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        if (closed) {
                            IoUtils.safeClose(connection); // Given up on while it came up.
                            return;
                        }
                        stream = new SocketStream(loop, connection, AgentConnection.this);
                        stream.resumeReads();
                        owner.connected(AgentConnection.this);
                    }

                    @Override
                    public void handleFailed(IOException e, Void none) {
                        fail("the connection failed: " + e.getMessage());
                    }
                },
                null);
    }

    /** Asks for a path and query; {@code index}: the version it asks from, negative for the whole list. */
    void call(String pathAndQuery, long fromIndex, long patienceUs) {
        index = fromIndex;
        response = new HttpResponse();
        calledUs = loop.clock().now();
        heardUs = calledUs;
        loop.deadlines().cancel(patience);
        patience = loop.deadlines().after(patienceUs, this::lateUnlessArriving);
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        stream.write(
                ("GET " + pathAndQuery + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json" + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** A long list that is on its way takes its time; asked for again, it would take longer. */
    private void lateUnlessArriving() {
        long now = loop.clock().now();
        if (heardUs > calledUs && now - heardUs < ARRIVING_US && now - calledUs < ARRIVAL_MOST_US) {
            patience = loop.deadlines().after(ARRIVING_US, this::lateUnlessArriving);
        } else {
            owner.late(this, "no answer in time");
        }
    }

    /** The version that the call in hand, or the last one, asks from. */
    long index() {
        return index;
    }

    /** When the last byte came, or the call was made. */
    long heardUs() {
        return heardUs;
    }

    /** When the call was made, or connecting began. */
    long calledUs() {
        return calledUs;
    }

    /** Takes what has come by now. */
    void readNow() {
        if (stream != null) {
            stream.readNow();
        }
    }

    @Override
    public void received(ByteBuffer in) {
        heardUs = loop.clock().now();
        try {
            response.accept(in);
        } catch (HttpResponse.HttpException e) {
            fail(e.getMessage());
            return;
        }
        if (response.complete()) {
            respond();
        }
    }

    @Override
    public void ended() {
        if (!stream.wasReset() && response.endsWithConnection()) {
            respond();
        } else {
            fail("the connection ended");
        }
    }

    private void respond() {
        loop.deadlines().cancel(patience);
        owner.responded(this, response);
    }

    private void fail(String why) {
        if (!closed) {
            close();
            owner.failed(this, why);
        }
    }

    /** Ends it, whatever it is in; nothing is told of it any more. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.deadlines().cancel(patience);
        if (stream != null) {
            stream.close();
        } else {
            connecting.cancel();
        }
    }
}
