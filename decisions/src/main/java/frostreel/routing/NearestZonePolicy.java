package frostreel.routing;

/**
 * The policy of an installation that configures no failover between zones: members of other zones cost more than
 * those of the router's own, and all are admitted. A member's handle is its zone.
 */
public final class NearestZonePolicy implements LocalityPolicy {
    private static final double LOCAL_ZONE_COST_FACTOR = 1;
    private static final double REMOTE_ZONE_COST_FACTOR = 2;

    private final int localZone;

    /** {@code localZone}: the zone of the router. */
    public NearestZonePolicy(int localZone) {
        this.localZone = localZone;
    }

    @Override
    public void onSettings(Router.Settings settings) {}

    @Override
    public int onMemberAdded(int group, int zone) {
        return zone;
    }

    @Override
    public void onMemberRemoved(int handle) {}

    @Override
    public void onAttemptSent(long nowUs, int handle, int classIndex, double workUs) {}

    @Override
    public void onAttemptEnded(long nowUs, int handle, Router.Outcome outcome, double workUs) {}

    @Override
    public void onHealthCheck(long nowUs, int handle, boolean ok) {}

    @Override
    public double costFactor(long nowUs, int handle) {
        return handle == localZone ? LOCAL_ZONE_COST_FACTOR : REMOTE_ZONE_COST_FACTOR;
    }

    @Override
    public boolean admits(long nowUs, int handle, int classIndex) {
        return true;
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return false;
    }
}
