package frostreel.operation;

/** Whether this process takes clients, as reported to load balancers and operators. */
public enum ReadinessStatus {
    READY("yes"),
    STARTING("starting"),
    DRAINING("emptied"),
    STOPPING("stopping");

    private final String wireName;

    ReadinessStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The word for it on the wire: in answers to clients and operators, and on the pages of {@code SHOW}. */
    public String wireName() {
        return wireName;
    }
}
