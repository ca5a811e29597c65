package frostreel.net;

import frostreel.broker.Broker;
import frostreel.broker.Caller;
import frostreel.broker.SlotTable;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.Statement;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.xnio.StreamConnection;

/**
 * One client's connection: takes its queries one after another, and writes each one's answer in their order.
 */
final class ClientConnection implements Stream.Handler, Caller {
    private enum Phase { STARTUP, RUNNING, CLOSED }

    private static final byte[] SHOW_STATS = "SHOW stats\0".getBytes(StandardCharsets.US_ASCII);
    /** The longest query: a value of 64 KiB written as text, twice as long, with room for the rest. */
    private static final int MOST_BYTES = 1 << 18;
    /** So much may wait unread behind a request; beyond it the client is not read from. */
    private static final int BACKLOG_BYTES = 1 << 16;
    /** When to come back after a refusal for want of a place. */
    private static final long CROWDED_ADVICE_US = 200_000;
    /** Between the client's sending, from which its patience counts, and our reading, and back again. */
    private static final long TRANSIT_US = 4_000;
    private final Loop loop;
    private final Listener listener;
    private final Stream stream;
    private final MessageReader reader = new MessageReader(ClientConnection::longest);
    long slot;
    private Phase phase = Phase.STARTUP;
    private boolean busy;
    private boolean taking;
    private boolean skipsToSync;
    private long request = SlotTable.NONE;

    ClientConnection(Loop loop, Listener listener, StreamConnection connection) {
        this.loop = loop;
        this.listener = listener;
        stream = new Stream(loop, connection, this);
    }

    private static int longest(byte type) {
        return "QPBEDCFSHX".indexOf(type) >= 0 ? MOST_BYTES : -1;
    }

    void begin() {
        stream.resumeReads();
    }

    @Override public void received(ByteBuffer in) {
        listener.began(this);
        reader.feed(in);
        take();
        if (busy && reader.buffered() > BACKLOG_BYTES) {
            stream.suspendReads();
        }
    }

    @Override public void drained() {
        take();
    }

    /** Takes what has come, up to the first request that must be waited for. */
    private void take() {
        if (taking) {
            return;
        }
        taking = true;
        try {
            // A slow reader's next request waits until it has taken its last answer.
            while (phase != Phase.CLOSED && !busy && stream.flushed()) {
                if (phase == Phase.STARTUP ? !reader.nextStartup() : !reader.next()) {
                    break;
                }
                if (phase == Phase.STARTUP) {
                    startup();
                } else {
                    message();
                }
            }
        } catch (PgException e) {
            loop.counters().malformed++;
            fatal(Messages.PROTOCOL_VIOLATION, e.getMessage());
        } finally {
            taking = false;
        }
        if (!busy) {
            stream.resumeReads();
            listener.rested(this);
        }
    }

    private void startup() throws PgException {
        int version = reader.firstInt();
        if (version == Messages.SSL_REQUEST || version == Messages.GSS_REQUEST) {
            stream.write(new byte[] {'N'});
        } else if (version == Messages.CANCEL_REQUEST) {
            close();
        } else if (version >> 16 != Messages.PROTOCOL_3 >> 16) {
            loop.counters().malformed++;
            fatal(Messages.NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
        } else {
            phase = Phase.RUNNING;
            stream.write(Messages.welcome());
        }
    }

    private void message() throws PgException {
        byte type = reader.type();
        if (type == 'X') {
            close();
        } else if (type == 'Q') {
            query(reader.body());
        } else if (type == 'S' || type == 'H') {
            skipsToSync &= type != 'S';
            if (type == 'S') {
                stream.write(Messages.readyForQuery());
            }
        } else {
            if (!skipsToSync) {
                loop.counters().malformed++;
                stream.write(Messages.error(false, Messages.NOT_SUPPORTED, "only simple queries", null));
            }
            skipsToSync = true;
        }
    }

    private void query(byte[] body) throws PgException {
        if (Statement.isEmpty(body)) {
            if (listener.ready()) {
                answer(Messages.emptyQueryResponse());
            } else {
                answer(Messages.error(false, Messages.STARTING, "the pooler is starting", null));
            }
            return;
        }
        if (Arrays.equals(body, SHOW_STATS)) {
            answer(Messages.row("stats", loop.counters().toString()));
            return;
        }
        Statement s;
        try {
            s = Statement.parse(body);
        } catch (PgException e) {
            loop.counters().malformed++;
            answer(Messages.error(false, Messages.INVALID_STATEMENT, e.getMessage(), null));
            return;
        }
        Integer cls = listener.classNumber(s.requestClass());
        if (cls == null) {
            loop.counters().malformed++;
            answer(Messages.error(false, Messages.INVALID_STATEMENT,
                    "a class that the settings do not name", null));
            return;
        }
        if (listener.crowded()) {
            loop.counters().crowdedOut++;
            answer(refusal(CROWDED_ADVICE_US));
            return;
        }
        long now = loop.clock().now();
        long sinceWriteUs = s.afterMs() == 0 ? 0 : Math.max(1, now - s.afterMs() * 1000);
        busy = true;
        long handle = listener.broker().submit(new Broker.Ask(cls, s.session(), s.cluster(),
                now + s.patienceMs() * 1000 - TRANSIT_US, sinceWriteUs, s.repeated()), s, this);
        if (busy) {
            request = handle;
        }
    }

    private void answer(byte[] message) {
        byte[] ready = Messages.readyForQuery();
        byte[] out = new byte[message.length + ready.length];
        System.arraycopy(message, 0, out, 0, message.length);
        System.arraycopy(ready, 0, out, message.length, ready.length);
        stream.write(out);
    }

    private void settle(byte[] message) {
        busy = false;
        request = SlotTable.NONE;
        answer(message);
        take();
    }

    @Override public void served(byte[] answer) {
        settle(answer);
    }

    @Override public void refused(long adviceUs) {
        settle(refusal(adviceUs));
    }

    private static byte[] refusal(long adviceUs) {
        return Messages.error(false, Messages.REFUSED, "refused: trying again is harmless",
                adviceUs <= 0 ? null : Long.toString((adviceUs + 999) / 1000));
    }

    @Override public void failed() {
        settle(Messages.error(false, Messages.UNKNOWN_EFFECT, "failed: whether it took effect is not known",
                null));
    }

    private void fatal(String code, String text) {
        stream.write(Messages.error(true, code, text, null));
        close();
    }

    @Override public void ended() {
        close();
    }

    /** Whether nothing of the client's is in hand; one that was closed does not rest, it is gone. */
    boolean restsBetweenRequests() {
        return phase != Phase.CLOSED && !busy && stream.flushed() && reader.buffered() == 0;
    }

    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        loop.counters().clientsClosed++;
        stream.close();
        listener.closed(this);
        listener.broker().gone(request);
    }
}
