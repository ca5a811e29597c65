package frostreel.lab.virtual;

import frostreel.request.Payload;

/**
 * What a request costs a server, and what it must see; handed through the broker in place of its bytes.
 *
 * @param workUs microseconds of a core of speed 1
 * @param boundUs how old the data may be, 0 where that is not bounded
 * @param sinceUs the position that a server must have for it, 0 for any
 */
record SimulatedPayload(String id, double workUs, boolean write, long session, long boundUs, long sinceUs)
        implements Payload {
    @Override
    public byte[] forServer(long patienceUs) {
        throw new UnsupportedOperationException("the model takes the payload itself");
    }

    /** The position that a server must have for it at a moment, 0 for any. */
    long requiredAt(long nowUs) {
        return boundUs > 0 ? nowUs - boundUs : sinceUs;
    }
}
