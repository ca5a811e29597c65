package frostreel.control;

/**
 * One request line of the admin protocol.
 *
 * @param serverId the id of the server for {@link Verb#SUSPEND} and {@link Verb#RESTORE}, else empty
 */
record AdminRequest(Verb verb, String serverId) {
    enum Verb {
        /** Queries whether this process is ready for clients. */
        STATUS,
        /** Drains the processes of this pooler: clients are sent away until {@link #RESUME}. */
        PAUSE,
        /** Ends a pause: clients are served again. */
        RESUME,
        /** Takes a server out of service. */
        SUSPEND,
        /** Puts a server back into service. */
        RESTORE,
        /** Any other line. */
        UNKNOWN
    }
}
