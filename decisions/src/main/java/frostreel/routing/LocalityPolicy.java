package frostreel.routing;

/**
 * Decides which members reads may be sent to and at what cost, by their zones. The router notifies it of events (the
 * methods that begin with {@code on}) and asks it for each read; it answers at once and takes no action of its own.
 * Members are identified by handles, which it gives out.
 */
public interface LocalityPolicy {
    /** The cost factor of a member that may be sent nothing. */
    double EXCLUDED = Double.POSITIVE_INFINITY;

    /** New settings are in force, as in {@link Router#onSettings}. */
    void onSettings(Router.Settings settings);

    /** A member was listed for the first time; returns its handle, valid until {@link #onMemberRemoved}. */
    int onMemberAdded(int group, int zone);

    /** A member was forgotten; its handle may be given to another. */
    void onMemberRemoved(int handle);

    /** An attempt of a read was sent; {@code workUs} is the mean latency of its class. */
    void onAttemptSent(long nowUs, int handle, int classIndex, double workUs);

    /** An attempt of a read or a write ended; {@code workUs} is the mean latency of its class. */
    void onAttemptEnded(long nowUs, int handle, Router.Outcome outcome, double workUs);

    /** A health check ended. */
    void onHealthCheck(long nowUs, int handle, boolean ok);

    /** The cost of a member relative to the nearest, from 1, or {@link #EXCLUDED}. */
    double costFactor(long nowUs, int handle);

    /** Whether one more read of this class may be sent to a member now. */
    boolean admits(long nowUs, int handle, int classIndex);

    /**
     * Whether a member that may be sent nothing is due for a health check. Asked only when that check could start at
     * once: where it is due, it counts as started.
     */
    boolean healthCheckDue(long nowUs, int handle);
}
