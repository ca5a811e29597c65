package frostreel.routing;

/**
 * Policy of an installation without failover between zones: members of other zones cost more than those of the local
 * zone, and all reads are admitted. The handle of a member is the number of its zone.
 */
public final class NearestZonePolicy implements LocalityPolicy {
    private static final double LOCAL_ZONE_COST_FACTOR = 1;
    private static final double REMOTE_ZONE_COST_FACTOR = 2;

    private final int localZone;

    /** Creates the policy of a router in {@code localZone}. */
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
