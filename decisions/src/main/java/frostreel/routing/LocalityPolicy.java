package frostreel.routing;

/**
 * A say in which members reads go to, beside the decisions' own. It is told what the decisions are told,
 * answers at once, and never acts. Members are named by the seats that it gave them.
 */
public interface LocalityPolicy {
    /** New settings, as in {@link Router#onSettings}. */
    void settings(Router.Settings settings);

    /** A member newly met takes a seat, for good or until {@link #left}. */
    int memberHandle(int group, int zone);

    /** A member was forgotten; its seat may be given again. */
    void left(int handle);

    /** An attempt ended; {@code workUs}: what its class usually takes. */
    void ended(long nowUs, int handle, Router.Outcome outcome, double workUs);

    void probed(long nowUs, int handle, boolean ok);

    /** A read of that class was sent. */
    void sent(long nowUs, int handle, int cls, double workUs);

    /** How much dearer it is than the nearest; infinite where nothing may go there now. */
    double costFactor(long nowUs, int handle);

    /** Whether one more read of that class may go there now. */
    boolean admits(long nowUs, int handle, int cls);

    /**
     * Whether a probe of it is due, though nothing may go there; asked when one could be made at once.
     */
    boolean healthCheckDue(long nowUs, int handle);
}
