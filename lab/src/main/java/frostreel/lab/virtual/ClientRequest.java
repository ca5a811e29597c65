package frostreel.lab.virtual;

/**
 * A client's request, with what its retry needs.
 *
 * @param workUs microseconds of a core of speed 1
 * @param patience the part of its class's deadline that its client waits
 * @param second the second of the run in which it was asked first
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
    /** The same request at another pooler, for the last time. */
    ClientRequest retryAt(VirtualPooler other) {
        return new ClientRequest(other, classIndex, group, session, workUs, patience, askedUs, second, false);
    }
}
