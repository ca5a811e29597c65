package frostreel.routing;

/** How little a replica should be chosen for a read, by its load, its health, its zone and its connections. */
final class ReplicaCost {
    /** How much more a replica costs if a connection must be opened: that costs it work, and the read time. */
    private static final double NEW_CONNECTION_COST_FACTOR = 1.5;
    /** For each further connection a group's requests are sent on open ones this many times. */
    private static final int MIN_SENDS_PER_NEW_CONNECTION = 10;
    /** Attempts in flight raise a replica's cost by this much over its weight. */
    private static final double COST_PER_ATTEMPT_IN_FLIGHT = 0.5;
    /** Weights below it count as this much, so that the cost stays finite. */
    private static final double MIN_WEIGHT = 0.1;

    private final ActiveSettings settings;
    private final LongQueryPlacement longQueries;

    ReplicaCost(ActiveSettings settings, LongQueryPlacement longQueries) {
        this.settings = settings;
        this.longQueries = longQueries;
    }

    /** The cost of a replica for a read; {@code costFactor} by its zone. */
    double of(long nowUs, PendingRequest request, MemberState replica, double costFactor) {
        double load = 1 + COST_PER_ATTEMPT_IN_FLIGHT * replica.inFlight / Math.max(MIN_WEIGHT, replica.weight);
        return replica.outliers.cost(nowUs, replica.inFlight, load)
                * costFactor
                / longQueries.preference(request, replica)
                * connectionCostFactor(nowUs, request.group, replica);
    }

    private double connectionCostFactor(long nowUs, GroupState group, MemberState replica) {
        boolean newConnectionIsDue = group.sendsSinceConnect >= MIN_SENDS_PER_NEW_CONNECTION;
        boolean noExtraCost = newConnectionIsDue || replica.hasFreeConnection(nowUs, settings.limits());
        return noExtraCost ? 1 : NEW_CONNECTION_COST_FACTOR;
    }
}
