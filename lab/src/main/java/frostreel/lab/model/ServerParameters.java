package frostreel.lab.model;

/**
 * The parameters of all servers of a deployment. Where the pooler's settings state a rule, such as the ramp of
 * the warm-up, these have the same values.
 *
 * @param coldFrom share of its full capacity with which a server starts, 0 to 1
 * @param warmAfterUs duration of the warm-up, in which the capacity grows linearly from {@code coldFrom} to 1
 * @param fallMultiple overload limit of a server that is warming up: it crashes when the work sent to it within
 *     {@code fallUs} exceeds this multiple of what it can do in that time
 * @param fallUs window of the overload limit, in microseconds
 * @param logDelayUs least age of a replica's position, in microseconds
 * @param replayRate seconds of the log that a replica applies per second; above 1 it can catch up
 * @param queue how many requests may wait for a core; more are rejected
 * @param informedShare least share of an overload's work, 0 to 1, that came from senders that knew of the start;
 *     with less, the overload breaks no rule
 * @param slackUs mean work of a request, by which the overload limit allows for random arrivals: where the
 *     limit is the work of N such requests, the server crashes beyond the work of {@code N + 2 * sqrt(N) + 2};
 *     0 for a crash beyond N
 * @param cancels whether a cancelled request stops although it already runs
 * @param commitsWait whether a write is acknowledged only once a replica has it, so that no commit is lost
 */
public record ServerParameters(
        double coldFrom,
        long warmAfterUs,
        double fallMultiple,
        long fallUs,
        long logDelayUs,
        double replayRate,
        int queue,
        double informedShare,
        double slackUs,
        boolean cancels,
        boolean commitsWait) {
    /** The parameters of the site in service. */
    public static final ServerParameters USUAL =
            new ServerParameters(0.22, 15_000_000, 3, 2_000_000, 8_000, 1.8, 64, 0, 0, true, true);
}
