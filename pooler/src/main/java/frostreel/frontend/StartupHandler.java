package frostreel.frontend;

import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import frostreel.pg.StartupCode;

/**
 * Handles the startup phase of one client's connection: declines encryption, carries out cancel requests, and accepts
 * the startup message. Used on the I/O thread.
 */
final class StartupHandler {
    /** A client may ask for each of the two kinds of encryption once. */
    private static final int MAX_ENCRYPTION_REQUESTS = 2;

    private final FrontEnd frontEnd;
    private final SocketStream stream;
    private final ClientConnection connection;
    private int encryptionRequests;

    StartupHandler(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        this.frontEnd = frontEnd;
        this.stream = stream;
        this.connection = connection;
    }

    private void declineEncryption() {
        if (++encryptionRequests <= MAX_ENCRYPTION_REQUESTS) {
            stream.write(new byte[] {StartupCode.ENCRYPTION_NOT_SUPPORTED});
        } else {
            frontEnd.loop().counters().malformedMessages++;
            connection.closeWithError(SqlState.PROTOCOL_VIOLATION, "encryption was declined already");
        }
    }

    /** Handles one message of the startup phase, which begins with a code instead of a type byte. */
    void onMessage(MessageReader message) throws PgException {
        int code = message.bodyInt(0);
        if (StartupCode.requestsEncryption(code)) {
            declineEncryption();
        } else if (code == StartupCode.CANCEL_REQUEST) {
            cancel(CancelKey.in(message));
            connection.close();
        } else if (!StartupCode.isProtocol3(code)) {
            frontEnd.loop().counters().malformedMessages++;
            connection.closeWithError(SqlState.FEATURE_NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
        } else {
            connection.onStarted();
        }
    }

    /** Carries out a cancel request whose client has closed its side already, as it need not wait for a response. */
    void onEnded(MessageReader message) throws PgException {
        if (message.nextStartup() && message.bodyInt(0) == StartupCode.CANCEL_REQUEST) {
            cancel(CancelKey.in(message));
        }
    }

    /** Cancels the active request of the client that has this key; does nothing if there is none. */
    private void cancel(CancelKey key) {
        frontEnd.clients().forEach(client -> client.cancel(key));
    }
}
