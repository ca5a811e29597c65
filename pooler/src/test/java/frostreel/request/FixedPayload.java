package frostreel.request;

/** A payload that is the same in each attempt. */
public record FixedPayload(byte[] query) implements Payload {
    @Override
    public byte[] forServer(long timeoutUs) {
        return query;
    }

    @Override
    public int memoryBytes() {
        return query.length;
    }
}
