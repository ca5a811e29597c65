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
    public int seat(int group, int zone) {
        return zone;
    }

    @Override
    public void left(int seat) {}

    @Override
    public void ended(long nowUs, int seat, Router.Outcome outcome, double workUs) {}

    @Override
    public void probed(long nowUs, int seat, boolean ok) {}

    @Override
    public void sent(long nowUs, int seat, int cls, double workUs) {}

    @Override
    public double price(long nowUs, int seat) {
        return seat == own ? 1 : FAR;
    }

    @Override
    public boolean permits(long nowUs, int seat, int cls) {
        return true;
    }

    @Override
    public boolean wantsProbe(long nowUs, int seat) {
        return false;
    }
}
