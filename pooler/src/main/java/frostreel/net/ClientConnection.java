package frostreel.net;

import frostreel.broker.BackEnd;
import frostreel.broker.Broker;
import frostreel.broker.Deadlines;
import frostreel.broker.ResponseHandler;
import frostreel.broker.SlotTable;
import frostreel.log.EventLog;
import frostreel.operation.ReadinessStatus;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.Statement;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.xnio.StreamConnection;

/**
 * One client's connection: takes its queries one after another, and writes each one's answer in their order.
 * One that does not come to ask is told so and closed, as it holds a place that others need.
 */
final class ClientConnection implements SocketStream.Handler, ResponseHandler {
    private enum Phase {
        STARTUP,
        RUNNING,
        LINGERING,
        CLOSED
    }

    /** The longest query: a value of 64 KiB as hexadecimal text, twice as long, with room for the rest. */
    private static final int MOST_BYTES = (1 << 17) + (1 << 12);
    /**
     * So much may wait behind a request, and so much where all that is held for clients is more than its part
     * of the memory. What comes beyond is dropped, and the client's connection ends with its last answer: to
     * leave it unread instead would hide that the client has gone.
     */
    private static final int BACKLOG_BYTES = 1 << 20;

    private static final int LEAST_BACKLOG_BYTES = 1 << 16;
    /** So much of a long answer may wait for its reader; beyond it the server is not read from. */
    private static final int MOST_WAITING = 1 << 17;
    /** So long after connecting, or after the first byte of a message, a whole one must have come. */
    private static final long OWING_US = 2_300_000;
    /** So many queries in a row may be no good before the connection ends: answering them is work, too. */
    private static final int MOST_FAULTS = 16;
    /** So much is read only to be dropped; it costs time that others need. */
    private static final int DROPPED_BYTES = 1 << 20;
    /** A reader of an answer that takes nothing of it for so long holds its place for nothing. */
    private static final long STILL_US = 30_000_000;
    /** When to come back after a refusal for want of a place, where the settings allow to tell so much. */
    private static final long CROWDED_RETRY_AFTER_US = 200_000;
    /** Between the client's sending, from which its patience counts, and our reading, and back again. */
    private static final long TRANSIT_US = 4_000;

    private final EventLoop loop;
    private final Listener listener;
    private final SocketStream stream;
    private final MessageReader reader = new MessageReader(ClientConnection::longest);
    /** Of the key by which this client may cancel; the other half is its slot's number. */
    private final int secret;

    long slot;
    private Phase phase = Phase.STARTUP;
    private boolean busy;
    private boolean taking;
    private boolean skipsToSync;
    private boolean asked;
    private int faults;
    /** More came than may wait; what comes on is dropped. */
    private boolean overrun;

    private int dropped;
    /** How much memory for what waits to be taken is counted with all that is held. */
    private int held;
    /** When all that had come was last read. */
    private long readUs;

    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Since when the message that is being taken may have been here, by its last byte. */
    private long cameUs;
    /** Its socket was read empty in this very call, so that there is no need to look again. */
    private boolean justLooked;

    private long sinceUs;
    private Deadlines.Deadline patience;
    private long request = SlotTable.NONE;
    /** The source of the long answer that is being passed on, null for none. */
    private BackEnd.ResponseSource flow;

    ClientConnection(EventLoop loop, Listener listener, StreamConnection connection, int secret) {
        this.loop = loop;
        this.listener = listener;
        this.secret = secret;
        stream = new SocketStream(loop, connection, this);
    }

    private static int longest(byte type) {
        return "QPBEDCFSHX".indexOf(type) >= 0 ? MOST_BYTES : -1;
    }

    void begin() {
        await();
        stream.resumeReads();
    }

    /** Since when it has been idle, or has owed a whole message. */
    long sinceUs() {
        return sinceUs;
    }

    /** A whole message is owed from now on. */
    private void await() {
        if (patience == null) {
            sinceUs = loop.clock().now();
            patience = loop.deadlines().after(OWING_US, this::silent);
            listener.owes(this);
        }
    }

    private void silent() {
        loop.counters().clientsSilent++;
        fatal(Messages.IDLE, "nothing whole came in time");
    }

    private void heard() {
        loop.deadlines().cancel(patience);
        patience = null;
    }

    @Override
    public void received(ByteBuffer in) {
        if (phase == Phase.LINGERING || overrun) {
            dropped += in.remaining();
            if (dropped > DROPPED_BYTES && phase == Phase.LINGERING) {
                close();
            } else if (dropped > DROPPED_BYTES) {
                stream.suspendReads();
            }
            return;
        }
        arrivals.add(in.remaining(), Math.max(loop.cameSinceUs(), readUs));
        reader.feed(in);
    }

    /** Only now, as a client that asked and went is not to be asked for any more. */
    @Override
    public void caughtUp() {
        readUs = loop.clock().now();
        boolean before = justLooked;
        justLooked = true;
        take();
        justLooked = before;
        if (!overrun
                && phase.compareTo(Phase.LINGERING) < 0
                && (busy || !stream.flushed())
                && reader.buffered() > (loop.holdsMuch() ? LEAST_BACKLOG_BYTES : BACKLOG_BYTES)) {
            overrun = true;
            loop.counters().malformed++;
        }
    }

    /** Counts the memory of what waits to be taken with all that is held. */
    private void hold(int bytes) {
        loop.held(bytes - held);
        held = bytes;
    }

    @Override
    public void drained() {
        if (flow != null) {
            flow.resume();
        }
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
            while (phase.compareTo(Phase.LINGERING) < 0 && !busy && stream.flushed()) {
                if (phase == Phase.STARTUP ? !reader.nextStartup() : !reader.next()) {
                    if (overrun) {
                        fatal(Messages.PROTOCOL_VIOLATION, "too much at once behind a request in hand");
                    }
                    break;
                }
                cameUs = arrivals.take(reader.buffered());
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
            hold(phase.compareTo(Phase.LINGERING) < 0 ? reader.memory() + arrivals.memory() : 0);
        }
        if (phase.compareTo(Phase.LINGERING) < 0 && !busy) {
            stream.resumeReads();
            rest();
        }
    }

    private void rest() {
        if (!stream.flushed()) {
            awaitReader();
            return;
        }
        if (!restsBetweenRequests() || !asked && !listener.closing()) {
            await();
            return;
        }
        heard();
        sinceUs = loop.clock().now();
        listener.rested(this);
    }

    /** Its answer waits for it, and not the other way round. */
    private void awaitReader() {
        heard();
        listener.busy(this);
        int waiting = stream.waiting();
        patience = loop.deadlines().after(STILL_US, () -> {
            patience = null;
            if (stream.waiting() < waiting) {
                awaitReader();
            } else {
                loop.events()
                        .tell(
                                EventLog.Kind.CLIENT_CLOSED,
                                () -> "it takes nothing of its answer, " + waiting + " bytes wait");
                close();
            }
        });
    }

    private void startup() throws PgException {
        int version = reader.intOfBody(0);
        if (version == Messages.SSL_REQUEST || version == Messages.GSS_REQUEST) {
            stream.write(new byte[] {'N'});
        } else if (version == Messages.CANCEL_REQUEST) {
            listener.cancel(reader.intOfBody(1), reader.intOfBody(2));
            close();
        } else if (version >> 16 != Messages.PROTOCOL_3 >> 16) {
            loop.counters().malformed++;
            fatal(Messages.NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
        } else {
            phase = Phase.RUNNING;
            stream.write(Messages.welcome(process(), secret));
        }
    }

    /** The first half of its key: the slot's number and part of its generation. */
    private int process() {
        return (int) slot & Integer.MAX_VALUE;
    }

    /** Withdraws the request in hand, if the key is its own. */
    void cancel(int process, int itsSecret) {
        if (process == process() && itsSecret == secret && phase == Phase.RUNNING) {
            listener.broker().cancelled(request);
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
            asked = true;
            ReadinessStatus status = listener.status();
            answer(
                    status == ReadinessStatus.READY
                            ? Messages.emptyQueryResponse()
                            : Messages.error(false, Messages.STARTING, "takes no clients: " + status.wireName(), null));
            return;
        }
        Supplier<String> page = listener.page(body);
        if (page != null) {
            asked = true;
            answer(Messages.row("page", page.get()));
            return;
        }
        Statement s;
        try {
            s = Statement.parse(body);
        } catch (PgException e) {
            fault(e.getMessage());
            return;
        }
        Integer cls = listener.classNumber(s);
        if (cls == null) {
            fault("a class that the settings do not name, or a statement that is none of its class");
            return;
        }
        if (listener.broker().holds(s.id())) {
            fault("the id of a request that is open"); // Sent on, it would be a second copy in flight.
            return;
        }
        asked = true;
        faults = 0;
        if (listener.full()) {
            loop.counters().crowdedOut++;
            answer(refusal(listener.broker().retryAfterUs(CROWDED_RETRY_AFTER_US)));
            return;
        }
        long now = loop.clock().now();
        // Of now: the module takes it as of when it hears of the request, however long that waited here.
        long sinceWriteUs = s.afterMs() == 0 ? 0 : Math.max(1, now - s.afterMs() * 1000);
        busy = true;
        heard();
        listener.busy(this);
        long handle = listener.broker()
                .submit(
                        new Broker.RequestAttributes(
                                s.id(),
                                cls,
                                s.session(),
                                s.cluster(),
                                Math.min(cameUs + s.patienceMs() * 1000 - TRANSIT_US, listener.answerBy()),
                                sinceWriteUs,
                                s.repeated()),
                        s,
                        this);
        if (busy) {
            request = handle;
        }
    }

    /** A query that is no good has its error, and the next may be better; a long row of them has an end. */
    private void fault(String text) {
        loop.counters().malformed++;
        if (++faults < MOST_FAULTS) {
            answer(Messages.error(false, Messages.INVALID_STATEMENT, text, null));
        } else {
            fatal(Messages.INVALID_STATEMENT, text);
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
        flow = null;
        request = SlotTable.NONE;
        answer(message);
        take();
    }

    @Override
    public void served(byte[] answer) {
        settle(answer);
    }

    @Override
    public BackEnd.ResponseStream begins(BackEnd.ResponseSource from) {
        flow = from;
        return piece -> {
            stream.write(piece);
            if (stream.waiting() > MOST_WAITING || loop.holdsMuch() && !stream.flushed()) {
                from.pause();
            }
        };
    }

    @Override
    public void broken() {
        close();
    }

    @Override
    public void refused(long retryAfterUs) {
        settle(refusal(retryAfterUs));
    }

    private static byte[] refusal(long retryAfterUs) {
        return Messages.error(
                false,
                Messages.REFUSED,
                "refused: trying again is harmless",
                retryAfterUs <= 0 ? null : Long.toString((retryAfterUs + 999) / 1000));
    }

    @Override
    public void cancelled() {
        settle(Messages.error(false, Messages.CANCELLED, "cancelled by its client", null));
    }

    @Override
    public boolean waits() {
        if (!justLooked) {
            stream.readNow();
        }
        return phase != Phase.CLOSED;
    }

    @Override
    public void failed() {
        settle(Messages.error(false, Messages.UNKNOWN_EFFECT, "failed: whether it took effect is not known", null));
    }

    private void fatal(String code, String text) {
        loop.events().tell(EventLog.Kind.CLIENT_CLOSED, () -> "in " + phase + ": " + text);
        stream.write(Messages.error(true, code, text, null));
        leave();
    }

    /**
     * The one way in which we end a client's connection: our sending ends behind all that was written, and
     * what comes after that is read and dropped, never sent on, until the client has ended its own. A close
     * over unread bytes would reset the connection, and the last answer might be lost with it.
     */
    private void leave() {
        if (phase.compareTo(Phase.LINGERING) < 0) {
            phase = Phase.LINGERING;
            dropped = 0;
            heard();
            patience = loop.deadlines().after(listener.lingerUs(), this::close);
            listener.leaves(this);
            stream.end();
            stream.resumeReads();
        }
    }

    @Override
    public void ended() {
        try {
            if (phase == Phase.STARTUP
                    && reader.nextStartup()
                    && reader.intOfBody(0) == Messages.CANCEL_REQUEST) { // Nobody waits behind such a one.
                listener.cancel(reader.intOfBody(1), reader.intOfBody(2));
            }
        } catch (PgException e) {
            loop.counters().malformed++;
        }
        close();
    }

    /** Whether nothing of the client's is in hand; one that was closed does not rest, it is gone. */
    boolean restsBetweenRequests() {
        return phase == Phase.RUNNING && !busy && stream.flushed() && reader.buffered() == 0;
    }

    /**
     * Ends it unless a request has come meanwhile: while the thread is busy many wait unread, and one on a
     * connection that we end costs its client the way here, or, the second time, the answer.
     */
    boolean leaveUnlessAsking() {
        boolean heard = stream.readNow();
        if (phase.compareTo(Phase.LINGERING) >= 0 || heard && busy) {
            return false;
        }
        if (heard && restsBetweenRequests()) {
            return false; // It asked, and has its answer: no longer the longest idle.
        }
        leave();
        return true;
    }

    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        heard();
        hold(0);
        loop.counters().clientsClosed++;
        stream.close();
        listener.closed(this);
        listener.broker().gone(request);
    }
}
