package frostreel.control;

/**
 * One line of the operators' protocol.
 *
 * @param serverId the server that {@link Verb#SUSPEND} and {@link Verb#RESTORE} are about, else empty
 */
record AdminRequest(Verb verb, String serverId) {
    enum Verb {
        /** Asks whether this process takes clients. */
        STATUS,
        /** Asks clients to leave. */
        PAUSE,
        /** Ends a pause. */
        RESUME,
        /** Takes a server out of service. */
        SUSPEND,
        /** Puts a server back into service. */
        RESTORE,
        /** A line that is none of the above. */
        UNKNOWN
    }
}
