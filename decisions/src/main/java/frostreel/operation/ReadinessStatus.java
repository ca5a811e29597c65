package frostreel.operation;

/** Whether this process accepts clients, as reported to load balancers and operators. */
public enum ReadinessStatus {
    READY("yes"),
    STARTING("starting"),
    DRAINING("emptied"),
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
