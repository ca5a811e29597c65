package frostreel.routing;

/** The adviser of an installation that states no tiers: another zone is dearer, and nothing else is said. */
public final class NearestZonePolicy implements Router.LocalityPolicy {
    /** Times dearer than a member of one's own zone. */
    private static final double FAR = 2;

    private final int own;

    public NearestZonePolicy(int ownZone) {
        own = ownZone;
    }

    @Override
    public void settings(Router.Settings settings) {}

    @Override
    public int memberHandle(int group, int zone) {
        return zone;
    }

    @Override
    public void left(int handle) {}

    @Override
    public void ended(long nowUs, int handle, Router.Outcome outcome, double workUs) {}

    @Override
    public void probed(long nowUs, int handle, boolean ok) {}

    @Override
    public void sent(long nowUs, int handle, int cls, double workUs) {}

    @Override
    public double costFactor(long nowUs, int handle) {
        return handle == own ? 1 : FAR;
    }

    @Override
    public boolean admits(long nowUs, int handle, int cls) {
        return true;
    }

    @Override
    public boolean healthCheckDue(long nowUs, int handle) {
        return false;
    }
}
