package frostreel.request;

/** The bytes of a request, opaque to the broker. */
public interface Payload {
    /** The bytes to send to a server; {@code timeoutUs}: how long the sender will wait for the response. */
    byte[] forServer(long timeoutUs);
}
