package frostreel.frontend;

import frostreel.pg.MessageReader;
import frostreel.pg.PgException;

/**
 * The key with which a client cancels its request from another connection, sent in BackendKeyData and CancelRequest.
 *
 * @param process the process id of the protocol, which here identifies the client's connection
 * @param secret a random number that other clients do not know
 */
record CancelKey(int process, int secret) {
    /** Returns the key of the connection with this slot; the process id is its number and part of its generation. */
    static CancelKey ofSlot(long slot, int secret) {
        return new CancelKey((int) slot & Integer.MAX_VALUE, secret);
    }

    /** Returns the key in a CancelRequest. */
    static CancelKey in(MessageReader cancelRequest) throws PgException {
        return new CancelKey(cancelRequest.bodyInt(1), cancelRequest.bodyInt(2));
    }
}
