package frostreel.request;

/**
 * The sender's side of one request. Exactly one of its answers is called, once, unless the client disconnects before.
 * Called on the I/O thread.
 */
public interface ResponseHandler {
    /** The request was served; {@code answer}: the bytes as the back end gave them for this request. */
    void served(byte[] answer);

    /**
     * The request was rejected before it had any effect, so that a retry is harmless; {@code retryAfterUs}: for how
     * long to wait before, 0 for no advice.
     */
    void rejected(long retryAfterUs);

    /** The request failed, and may have taken effect. */
    void failed();

    /** The client itself has cancelled the request. */
    void cancelled();

    /** Whether the client is still connected, as far as can be seen by looking now. */
    boolean isClientConnected();

    /**
     * A long response begins. It comes in pieces; then {@link #served} has the rest, or {@link #responseBroken}
     * ends it.
     */
    default BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
        throw new IllegalStateException("no long responses are taken here");
    }

    /** The response that has begun ends here, incomplete; the client must be able to tell. */
    default void responseBroken() {}
}
