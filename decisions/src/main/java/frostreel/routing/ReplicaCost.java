package frostreel.routing;

/** Cost of choosing a replica for a read, based on its load, its health, its zone and its connections. */
final class ReplicaCost {
    /** Cost factor if a connection must be opened, which is work for the replica and takes time from the read. */
    private static final double NEW_CONNECTION_COST_FACTOR = 1.5;
    /** A group's next new connection has no extra cost after this many requests on open connections. */
    private static final int MIN_SENDS_PER_NEW_CONNECTION = 10;
    /** Cost of each attempt in flight, divided by the replica's weight. */
    private static final double COST_PER_ATTEMPT_IN_FLIGHT = 0.5;
    /** Lower weights are raised to this one, so that the cost stays finite. */
    private static final double MIN_WEIGHT = 0.1;

    private final ActiveSettings settings;
    private final LongQueryPlacement longQueries;

    ReplicaCost(ActiveSettings settings, LongQueryPlacement longQueries) {
        this.settings = settings;
        this.longQueries = longQueries;
    }

    /** Returns the cost of a replica for a read; {@code costFactor} is that of the locality policy. */
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
