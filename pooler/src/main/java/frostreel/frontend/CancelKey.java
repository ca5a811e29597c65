package frostreel.frontend;

import frostreel.pg.MessageReader;
import frostreel.pg.PgException;

/**
 * The key by which a client cancels its request on another connection, as in the messages BackendKeyData and
 * CancelRequest.
 *
 * @param process the number that stands for the process id of a server: here it identifies the connection
 * @param secret a random number that other clients cannot guess
 */
record CancelKey(int process, int secret) {
    /** The key of a connection with this slot: its number, and part of its generation. */
    static CancelKey ofSlot(long slot, int secret) {
        return new CancelKey((int) slot & Integer.MAX_VALUE, secret);
    }

    /** The key that a CancelRequest names. */
    static CancelKey in(MessageReader cancelRequest) throws PgException {
        return new CancelKey(cancelRequest.bodyInt(1), cancelRequest.bodyInt(2));
    }
}
