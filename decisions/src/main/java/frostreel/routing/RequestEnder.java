package frostreel.routing;

/** Ends requests that cannot be served; the router implements it for the classes that decide so. */
@FunctionalInterface
interface RequestEnder {
    /** Gives the request its final answer: a rejection where a retry is harmless, else a failure. */
    void giveUp(long nowUs, PendingRequest request);
}
