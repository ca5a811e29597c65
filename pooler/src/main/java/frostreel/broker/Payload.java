package frostreel.broker;

/** A request's bytes, opaque to the broker. */
public interface Payload {
    /** The bytes to send to a server that will be waited for this long. */
    byte[] forServer(long patienceUs);
}
