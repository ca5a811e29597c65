package frostreel.operation;

/**
 * Whether this process accepts clients. Load balancers query it with the empty query, and assign new connections only
 * to a process that is {@link #READY}. Operators see it on the {@code SHOW} pages and in the response to {@code
 * STATUS}.
 */
public enum ReadinessStatus {
    /** Clients are served, also during the grace period after SIGTERM without a successor. */
    READY("yes"),
    /** Startup is not complete; also after SIGTERM if there is no successor. */
    STARTING("starting"),
    /** Startup is complete and operators have paused the process: clients are asked to disconnect. */
    DRAINING("emptied"),
    /** SIGTERM has arrived, and a successor process accepts clients on the same socket. */
    STOPPING("stopping");

    private final String wireName;

    ReadinessStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The name of the status in responses to clients and operators, and on the {@code SHOW} pages. */
    public String wireName() {
        return wireName;
    }
}
