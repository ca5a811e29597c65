package frostreel.routing;

/** Ends requests that cannot be served; the router implements it for the classes that decide to give up. */
@FunctionalInterface
interface RequestEnder {
    /** Rejects the request if a retry by its client is harmless, else fails it. */
    void giveUp(long nowUs, PendingRequest request);
}
