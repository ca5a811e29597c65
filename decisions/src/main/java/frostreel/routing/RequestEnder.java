package frostreel.routing;

/** The router's one place that ends a request unserved, as seen by the classes that find that it has to be. */
@FunctionalInterface
interface RequestEnder {
    /** Gives the request its final answer: a rejection where a retry is harmless, else a failure. */
    void giveUp(long nowUs, PendingRequest request);
}
