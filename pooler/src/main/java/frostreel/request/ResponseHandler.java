package frostreel.request;

/**
 * The sender's side of one request. Exactly one of {@link #served}, {@link #rejected}, {@link #failed} and {@link
 * #cancelled} is called, once, unless the client disconnects before; a long response that has begun ends by {@link
 * #served} or {@link #responseBroken}. Called on the I/O thread.
 */
public interface ResponseHandler {
    /** The request was served; {@code answer}: the bytes that the back end received for it. */
    void served(byte[] response);

    /**
     * The request was rejected before it had any effect, so that a retry is harmless; {@code retryAfterUs}: how long
     * the client should wait before it, 0 for no advice.
     */
    void rejected(long retryAfterUs);

    /** The request failed, and may have taken effect. */
    void failed();

    /** The client itself has cancelled the request. */
    void cancelled();

    /** Whether the client is still connected; reads from its connection to find out. */
    boolean isClientConnected();

    /**
     * A long response begins. It comes in pieces; then {@link #served} passes the rest, or {@link #responseBroken}
     * ends it.
     */
    default BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
        throw new IllegalStateException("this handler accepts no long responses");
    }

    /** The long response ends here, incomplete; the client must be able to recognize that. */
    default void responseBroken() {}
}
