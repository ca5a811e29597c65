package frostreel.operation;

/** What this process tells a load balancer and its operators about whether it takes clients. */
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
