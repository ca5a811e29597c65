package frostreel.request;

/**
 * Receives the final response to one request. Exactly one of {@link #served}, {@link #rejected}, {@link #failed} and
 * {@link #cancelled} is called, once, unless the client disconnects first; a long response that has begun ends with
 * {@link #served} or {@link #responseBroken}. Called on the I/O thread.
 */
public interface ResponseHandler {
    /** The request was served; {@code response} contains the bytes that the back end received. */
    void served(byte[] response);

    /**
     * The request was rejected before it had any effect, so a retry is safe.
     *
     * @param retryAfterUs how long the client should wait before a retry, or 0 for no advice
     */
    void rejected(long retryAfterUs);

    /** The request failed; whether it took effect is unknown. */
    void failed();

    /** The client cancelled the request. */
    void cancelled();

    /** Whether the client is still connected. Reads from the connection to detect a disconnect. */
    boolean isClientConnected();

    /**
     * A long response begins and arrives in pieces. Then {@link #served} passes the rest, or {@link #responseBroken}
     * ends it.
     */
    default BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
        throw new IllegalStateException("this handler does not support long responses");
    }

    /** The long response ended incomplete. The handler must make this recognizable to the client. */
    default void responseBroken() {}
}
