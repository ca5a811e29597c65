package frostreel.net;

import frostreel.broker.BackEnd;
import frostreel.broker.Deadlines;
import frostreel.broker.RequestAttributes;
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
    private static final int MAX_MESSAGE_BYTES = (1 << 17) + (1 << 12);
    /**
     * So much may wait behind a request, and so much where all that is held for clients is more than its part
     * of the memory. What comes beyond is dropped, and the client's connection ends with its last answer: to
     * leave it unread instead would hide that the client has gone.
     */
    private static final int MAX_BACKLOG_BYTES = 1 << 20;

    private static final int MAX_BACKLOG_BYTES_SHORT_OF_MEMORY = 1 << 16;
    /** So much of a long answer may wait for its reader; beyond it the server is not read from. */
    private static final int MAX_PENDING_BYTES = 1 << 17;
    /** So long after connecting, or after the first byte of a message, a whole one must have come. */
    private static final long MESSAGE_TIMEOUT_US = 2_300_000;
    /** So many queries in a row may be no good before the connection ends: answering them is work, too. */
    private static final int MAX_FAULTS_IN_A_ROW = 16;
    /** So much is read only to be dropped; it costs time that others need. */
    private static final int MAX_DROPPED_BYTES = 1 << 20;
    /** A reader of an answer that takes nothing of it for so long holds its place for nothing. */
    private static final long READER_TIMEOUT_US = 30_000_000;
    /** When to come back after a refusal for want of a place, where the settings allow to tell so much. */
    private static final long CROWDED_RETRY_AFTER_US = 200_000;
    /** Between the client's sending, from which its patience counts, and our reading, and back again. */
    private static final long TRANSIT_US = 4_000;

    private final EventLoop loop;
    private final Listener listener;
    private final SocketStream stream;
    private final MessageReader reader = new MessageReader(ClientConnection::maxLength);
    /** Of the key by which this client may cancel; the other half is its slot's number. */
    private final int secret;

    long slot;
    private Phase phase = Phase.STARTUP;
    private boolean busy;
    private boolean takingMessages;
    private boolean skippingToSync;
    private boolean hasAsked;
    private int faultsInARow;
    /** More came than may wait; what comes on is dropped. */
    private boolean backlogOverrun;

    private int droppedBytes;
    /** How much memory for what waits to be taken is counted with all that is held. */
    private int countedBytes;
    /** When all that had come was last read. */
    private long lastReadUs;

    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Since when the message that is being taken may have been here, by its last byte. */
    private long arrivedUs;
    /** Its socket was read empty in this very call, so that there is no need to look again. */
    private boolean readJustNow;

    private long sinceUs;
    private Deadlines.Deadline timeout;
    private long requestHandle = SlotTable.NONE;
    /** The source of the long answer that is being passed on, null for none. */
    private BackEnd.ResponseSource responseSource;

    ClientConnection(EventLoop loop, Listener listener, StreamConnection connection, int secret) {
        this.loop = loop;
        this.listener = listener;
        this.secret = secret;
        stream = new SocketStream(loop, connection, this);
    }

    private static int maxLength(byte type) {
        return "QPBEDCFSHX".indexOf(type) >= 0 ? MAX_MESSAGE_BYTES : -1;
    }

    void begin() {
        awaitMessage();
        stream.resumeReads();
    }

    /** Since when it has been idle, or has owed a whole message. */
    long sinceUs() {
        return sinceUs;
    }

    /** A whole message is owed from now on. */
    private void awaitMessage() {
        if (timeout == null) {
            sinceUs = loop.clock().now();
            timeout = loop.deadlines().after(MESSAGE_TIMEOUT_US, this::onMessageTimeout);
            listener.onMessageAwaited(this);
        }
    }

    private void onMessageTimeout() {
        loop.counters().clientsSilent++;
        closeWithError(Messages.IDLE, "nothing whole came in time");
    }

    private void cancelTimeout() {
        loop.deadlines().cancel(timeout);
        timeout = null;
    }

    @Override
    public void received(ByteBuffer in) {
        if (phase == Phase.LINGERING || backlogOverrun) {
            droppedBytes += in.remaining();
            if (droppedBytes > MAX_DROPPED_BYTES && phase == Phase.LINGERING) {
                close();
            } else if (droppedBytes > MAX_DROPPED_BYTES) {
                stream.suspendReads();
            }
            return;
        }
        arrivals.add(in.remaining(), Math.max(loop.earliestArrivalUs(), lastReadUs));
        reader.feed(in);
    }

    /** Only now, as a client that asked and went is not to be asked for any more. */
    @Override
    public void caughtUp() {
        lastReadUs = loop.clock().now();
        boolean readBefore = readJustNow;
        readJustNow = true;
        takeMessages();
        readJustNow = readBefore;
        if (!backlogOverrun
                && phase.compareTo(Phase.LINGERING) < 0
                && (busy || !stream.flushed())
                && reader.buffered()
                        > (loop.buffersAreFull() ? MAX_BACKLOG_BYTES_SHORT_OF_MEMORY : MAX_BACKLOG_BYTES)) {
            backlogOverrun = true;
            loop.counters().malformed++;
        }
    }

    /** Counts the memory of what waits to be taken with all that is held. */
    private void countMemory(int bytes) {
        loop.addBufferedBytes(bytes - countedBytes);
        countedBytes = bytes;
    }

    @Override
    public void drained() {
        if (responseSource != null) {
            responseSource.resume();
        }
        takeMessages();
    }

    /** Takes what has come, up to the first request that must be waited for. */
    private void takeMessages() {
        if (takingMessages) {
            return;
        }
        takingMessages = true;
        try {
            // A slow reader's next request waits until it has taken its last answer.
            while (phase.compareTo(Phase.LINGERING) < 0 && !busy && stream.flushed()) {
                if (phase == Phase.STARTUP ? !reader.nextStartup() : !reader.next()) {
                    if (backlogOverrun) {
                        closeWithError(Messages.PROTOCOL_VIOLATION, "too much at once behind a request in hand");
                    }
                    break;
                }
                arrivedUs = arrivals.take(reader.buffered());
                if (phase == Phase.STARTUP) {
                    onStartup();
                } else {
                    onMessage();
                }
            }
        } catch (PgException e) {
            loop.counters().malformed++;
            closeWithError(Messages.PROTOCOL_VIOLATION, e.getMessage());
        } finally {
            takingMessages = false;
            countMemory(phase.compareTo(Phase.LINGERING) < 0 ? reader.memoryBytes() + arrivals.memoryBytes() : 0);
        }
        if (phase.compareTo(Phase.LINGERING) < 0 && !busy) {
            stream.resumeReads();
            awaitNext();
        }
    }

    private void awaitNext() {
        if (!stream.flushed()) {
            awaitReader();
            return;
        }
        if (!isIdle() || !hasAsked && !listener.closesAll()) {
            awaitMessage();
            return;
        }
        cancelTimeout();
        sinceUs = loop.clock().now();
        listener.onIdle(this);
    }

    /** Its answer waits for it, and not the other way round. */
    private void awaitReader() {
        cancelTimeout();
        listener.onBusy(this);
        int pendingBytes = stream.pendingBytes();
        timeout = loop.deadlines().after(READER_TIMEOUT_US, () -> {
            timeout = null;
            if (stream.pendingBytes() < pendingBytes) {
                awaitReader();
            } else {
                loop.events()
                        .tell(
                                EventLog.Kind.CLIENT_CLOSED,
                                () -> "it takes nothing of its answer, " + pendingBytes + " bytes wait");
                close();
            }
        });
    }

    private void onStartup() throws PgException {
        int version = reader.bodyInt(0);
        if (version == Messages.SSL_REQUEST || version == Messages.GSS_REQUEST) {
            stream.write(new byte[] {'N'});
        } else if (version == Messages.CANCEL_REQUEST) {
            listener.cancel(reader.bodyInt(1), reader.bodyInt(2));
            close();
        } else if (version >> 16 != Messages.PROTOCOL_3 >> 16) {
            loop.counters().malformed++;
            closeWithError(Messages.NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
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
    void cancel(int process, int cancelSecret) {
        if (process == process() && cancelSecret == secret && phase == Phase.RUNNING) {
            listener.broker().onClientCancelled(requestHandle);
        }
    }

    private void onMessage() throws PgException {
        byte type = reader.type();
        if (type == 'X') {
            close();
        } else if (type == 'Q') {
            onQuery(reader.body());
        } else if (type == 'S' || type == 'H') {
            skippingToSync &= type != 'S';
            if (type == 'S') {
                stream.write(Messages.readyForQuery());
            }
        } else {
            if (!skippingToSync) {
                loop.counters().malformed++;
                stream.write(Messages.error(false, Messages.NOT_SUPPORTED, "only simple queries", null));
            }
            skippingToSync = true;
        }
    }

    private void onQuery(byte[] body) throws PgException {
        if (Statement.isEmpty(body)) {
            hasAsked = true;
            ReadinessStatus readiness = listener.readiness();
            sendAnswer(
                    readiness == ReadinessStatus.READY
                            ? Messages.emptyQueryResponse()
                            : Messages.error(
                                    false, Messages.STARTING, "takes no clients: " + readiness.wireName(), null));
            return;
        }
        Supplier<String> page = listener.page(body);
        if (page != null) {
            hasAsked = true;
            sendAnswer(Messages.row("page", page.get()));
            return;
        }
        Statement statement;
        try {
            statement = Statement.parse(body);
        } catch (PgException e) {
            answerFault(e.getMessage());
            return;
        }
        Integer requestClass = listener.classNumber(statement);
        if (requestClass == null) {
            answerFault("a class that the settings do not name, or a statement that is none of its class");
            return;
        }
        if (listener.broker().isActive(statement.id())) {
            answerFault("the id of a request that is open"); // Sent on, it would be a second copy in flight.
            return;
        }
        hasAsked = true;
        faultsInARow = 0;
        if (listener.isFull()) {
            loop.counters().crowdedOut++;
            sendAnswer(rejection(listener.broker().retryAfterUs(CROWDED_RETRY_AFTER_US)));
            return;
        }
        long now = loop.clock().now();
        // Of now: the module takes it as of when it hears of the request, however long that waited here.
        long sinceWriteUs = statement.afterMs() == 0 ? 0 : Math.max(1, now - statement.afterMs() * 1000);
        busy = true;
        cancelTimeout();
        listener.onBusy(this);
        long handle = listener.broker()
                .submit(
                        new RequestAttributes(
                                statement.id(),
                                requestClass,
                                statement.session(),
                                statement.group(),
                                Math.min(
                                        arrivedUs + statement.timeoutMs() * 1000 - TRANSIT_US,
                                        listener.answerDeadlineUs()),
                                sinceWriteUs,
                                statement.repeated()),
                        statement,
                        this);
        if (busy) {
            requestHandle = handle;
        }
    }

    /** A query that is no good has its error, and the next may be better; a long row of them has an end. */
    private void answerFault(String text) {
        loop.counters().malformed++;
        if (++faultsInARow < MAX_FAULTS_IN_A_ROW) {
            sendAnswer(Messages.error(false, Messages.INVALID_STATEMENT, text, null));
        } else {
            closeWithError(Messages.INVALID_STATEMENT, text);
        }
    }

    private void sendAnswer(byte[] message) {
        byte[] ready = Messages.readyForQuery();
        byte[] out = new byte[message.length + ready.length];
        System.arraycopy(message, 0, out, 0, message.length);
        System.arraycopy(ready, 0, out, message.length, ready.length);
        stream.write(out);
    }

    private void finishRequest(byte[] message) {
        busy = false;
        responseSource = null;
        requestHandle = SlotTable.NONE;
        sendAnswer(message);
        takeMessages();
    }

    @Override
    public void served(byte[] answer) {
        finishRequest(answer);
    }

    @Override
    public BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
        responseSource = source;
        return piece -> {
            stream.write(piece);
            if (stream.pendingBytes() > MAX_PENDING_BYTES || loop.buffersAreFull() && !stream.flushed()) {
                source.pause();
            }
        };
    }

    @Override
    public void responseBroken() {
        close();
    }

    @Override
    public void rejected(long retryAfterUs) {
        finishRequest(rejection(retryAfterUs));
    }

    private static byte[] rejection(long retryAfterUs) {
        return Messages.error(
                false,
                Messages.REFUSED,
                "refused: trying again is harmless",
                retryAfterUs <= 0 ? null : Long.toString((retryAfterUs + 999) / 1000));
    }

    @Override
    public void cancelled() {
        finishRequest(Messages.error(false, Messages.CANCELLED, "cancelled by its client", null));
    }

    @Override
    public boolean isClientConnected() {
        if (!readJustNow) {
            stream.readNow();
        }
        return phase != Phase.CLOSED;
    }

    @Override
    public void failed() {
        finishRequest(
                Messages.error(false, Messages.UNKNOWN_EFFECT, "failed: whether it took effect is not known", null));
    }

    private void closeWithError(String code, String text) {
        loop.events().tell(EventLog.Kind.CLIENT_CLOSED, () -> "in " + phase + ": " + text);
        stream.write(Messages.error(true, code, text, null));
        linger();
    }

    /**
     * The one way in which we end a client's connection: our sending ends behind all that was written, and
     * what comes after that is read and dropped, never sent on, until the client has ended its own. A close
     * over unread bytes would reset the connection, and the last answer might be lost with it.
     */
    private void linger() {
        if (phase.compareTo(Phase.LINGERING) < 0) {
            phase = Phase.LINGERING;
            droppedBytes = 0;
            cancelTimeout();
            timeout = loop.deadlines().after(listener.lingerUs(), this::close);
            listener.onLingering(this);
            stream.end();
            stream.resumeReads();
        }
    }

    @Override
    public void ended() {
        try {
            if (phase == Phase.STARTUP
                    && reader.nextStartup()
                    && reader.bodyInt(0) == Messages.CANCEL_REQUEST) { // Nobody waits behind such a one.
                listener.cancel(reader.bodyInt(1), reader.bodyInt(2));
            }
        } catch (PgException e) {
            loop.counters().malformed++;
        }
        close();
    }

    /** Whether nothing of the client's is in hand; one that was closed does not rest, it is gone. */
    boolean isIdle() {
        return phase == Phase.RUNNING && !busy && stream.flushed() && reader.buffered() == 0;
    }

    /**
     * Ends it unless a request has come meanwhile: while the thread is busy many wait unread, and one on a
     * connection that we end costs its client the way here, or, the second time, the answer.
     */
    boolean closeUnlessAsking() {
        boolean received = stream.readNow();
        if (phase.compareTo(Phase.LINGERING) >= 0 || received && busy) {
            return false;
        }
        if (received && isIdle()) {
            return false; // It asked, and has its answer: no longer the longest idle.
        }
        linger();
        return true;
    }

    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        cancelTimeout();
        countMemory(0);
        loop.counters().clientsClosed++;
        stream.close();
        listener.onClosed(this);
        listener.broker().onClientDisconnected(requestHandle);
    }
}
