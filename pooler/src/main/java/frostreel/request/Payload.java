package frostreel.request;

/** The bytes of a request, opaque to the broker. */
public interface Payload {
    /** The bytes to send to a server; {@code timeoutUs}: for how long its answer will be waited for. */
    byte[] forServer(long timeoutUs);
}
