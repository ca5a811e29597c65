package frostreel.routing;

/** Sender of attempts, which the router implements for the classes that choose a member. */
@FunctionalInterface
interface AttemptSender {
    /** Starts an attempt if every rule permits it; returns whether it did. */
    boolean send(long nowUs, PendingRequest request, MemberState member, long timeoutUs);
}
