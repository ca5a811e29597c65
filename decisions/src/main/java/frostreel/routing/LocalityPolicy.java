package frostreel.routing;

/**
 * Decides to which members reads may be sent and at what cost, based on the zones of the members. The router notifies
 * the policy of events (the methods that begin with {@code on}) and queries it for each read; the policy responds
 * immediately and takes no action of its own. It assigns the handles by which members are identified.
 */
public interface LocalityPolicy {
    /** Cost factor of a member to which no requests may be sent. */
    double EXCLUDED = Double.POSITIVE_INFINITY;

    /** Called when new settings take effect, as in {@link Router#onSettings}. */
    void onSettings(Router.Settings settings);

    /** Called when a member is listed for the first time; returns its handle, valid until {@link #onMemberRemoved}. */
    int onMemberAdded(int group, int zone);

    /** Called when a member is removed; its handle may be assigned to another member. */
    void onMemberRemoved(int handle);

    /**
     * Called when an attempt of a read that does not require the primary is sent; {@code workUs} is the mean latency of
     * its class.
     */
    void onAttemptSent(long nowUs, int handle, int classIndex, double workUs);

    /** Called when an attempt of a read or a write has ended; {@code workUs} is the mean latency of its class. */
    void onAttemptEnded(long nowUs, int handle, Router.Outcome outcome, double workUs);

    /** Called when a health check has ended. */
    void onHealthCheck(long nowUs, int handle, boolean ok);

    /** Returns the cost of a member relative to the nearest one, at least 1, or {@link #EXCLUDED}. */
    double costFactor(long nowUs, int handle);

    /** Whether one more read of this class may be sent to a member now. */
    boolean admits(long nowUs, int handle, int classIndex);

    /**
     * Whether a health check is due for an excluded member. Called only if that check could start immediately: a check
     * that is due counts as started.
     */
    boolean healthCheckDue(long nowUs, int handle);
}
