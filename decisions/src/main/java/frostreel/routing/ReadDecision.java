package frostreel.routing;

/** The result of routing a read. */
enum ReadDecision {
    /** An attempt is in flight. */
    SENT,
    /** No member can take it now: it waits for capacity, or for a health check. */
    WAIT,
    /** It can't be served in time, or waiting would not help. */
    GIVE_UP
}
