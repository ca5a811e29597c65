package frostreel.routing;

/** The router's one place that sends, as seen by the classes that choose a member. */
@FunctionalInterface
interface AttemptSender {
    /** Starts an attempt if every rule permits it, and tells whether it did. */
    boolean send(long nowUs, PendingRequest request, MemberState member, long timeoutUs);
}
