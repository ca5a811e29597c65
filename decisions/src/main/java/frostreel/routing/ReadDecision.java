package frostreel.routing;

/** What has become of a read that was routed. */
enum ReadDecision {
    /** An attempt is in flight. */
    SENT,
    /** No member can take it now: it waits for capacity, or for a health check. */
    WAIT,
    /** It can't be served in time, or waiting would not help it. */
    GIVE_UP
}
