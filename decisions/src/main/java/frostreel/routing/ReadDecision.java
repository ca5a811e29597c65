package frostreel.routing;

/** Result of routing a read. */
enum ReadDecision {
    /** An attempt was sent. */
    SENT,
    /**
     * No member can take the read now: it waits for capacity, for a health check, or for the next round of attempts.
     */
    WAIT,
    /** The read cannot be served in time, may not be tried again, or would wait in vain. */
    GIVE_UP
}
