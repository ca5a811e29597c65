package frostreel.request;

/** Content of a request, opaque to the broker. */
public interface Payload {
    /** Returns the bytes to send to a server; {@code timeoutUs} is the remaining time for the response. */
    byte[] forServer(long timeoutUs);

    /** Returns the memory that the content occupies until the request has ended, in bytes. */
    int memoryBytes();
}
