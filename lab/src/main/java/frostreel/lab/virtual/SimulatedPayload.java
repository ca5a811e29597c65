package frostreel.lab.virtual;

import frostreel.request.Payload;

/**
 * The cost of a request and the freshness that it requires; passes through the broker in place of its bytes.
 *
 * @param workUs CPU time in microseconds on a core of speed 1
 * @param boundUs the maximum age of the data in microseconds, 0 for no bound
 * @param sinceUs the oldest position, in Unix microseconds, that may serve it; 0 for any
 */
record SimulatedPayload(String id, double workUs, boolean write, long session, long boundUs, long sinceUs)
        implements Payload {
    @Override
    public int memoryBytes() {
        return 0; // The content of a simulated request is not modelled.
    }

    @Override
    public byte[] forServer(long patienceUs) {
        throw new UnsupportedOperationException("a simulated payload has no bytes");
    }

    /** The oldest position that may serve it when it is sent at a time, 0 for any. */
    long requiredAt(long nowUs) {
        return boundUs > 0 ? nowUs - boundUs : sinceUs;
    }
}
