package frostreel.routing;

/**
 * Decides, beside the router, which members reads may go to and at what cost, by their zones. It is told what
 * the router is told, answers at once and never acts. A member is known by the handle that it was given.
 */
public interface LocalityPolicy {
    /** Takes new settings, as in {@link Router#onSettings}. */
    void settings(Router.Settings settings);

    /** The handle of a member that is newly listed, valid until {@link #left}. */
    int memberHandle(int group, int zone);

    /** A member was forgotten; its handle may be given to another. */
    void left(int handle);

    /** An attempt ended; {@code workUs} is what its class usually takes. */
    void ended(long nowUs, int handle, Router.Outcome outcome, double workUs);

    /** A health check ended. */
    void onHealthCheck(long nowUs, int handle, boolean ok);

    /** A read of this class was sent. */
    void sent(long nowUs, int handle, int requestClass, double workUs);

    /** The cost of a member relative to the nearest, from 1; infinite where it may be sent nothing now. */
    double costFactor(long nowUs, int handle);

    /** Whether one more read of this class may go there now. */
    boolean admits(long nowUs, int handle, int requestClass);

    /** Whether a health check is due though the member may be sent nothing; asked when one could start now. */
    boolean healthCheckDue(long nowUs, int handle);
}
