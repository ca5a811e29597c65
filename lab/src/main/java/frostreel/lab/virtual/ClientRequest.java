package frostreel.lab.virtual;

/**
 * A client's request, with all that a retry of it needs.
 *
 * @param pooler to which it is sent
 * @param workUs CPU time in microseconds on a core of speed 1
 * @param patience the part of its class's deadline, 0 to 1, for which its client waits
 * @param askedUs when it was first sent, in Unix microseconds
 * @param second the second of the run in which it was first sent
 * @param mayRetry whether the client sends it again after a rejection
 */
record ClientRequest(
        VirtualPooler pooler,
        int classIndex,
        int group,
        int session,
        double workUs,
        double patience,
        long askedUs,
        int second,
        boolean mayRetry) {
    /** The retry of this request at another pooler, which is not retried again. */
    ClientRequest retryAt(VirtualPooler other) {
        return new ClientRequest(other, classIndex, group, session, workUs, patience, askedUs, second, false);
    }
}
