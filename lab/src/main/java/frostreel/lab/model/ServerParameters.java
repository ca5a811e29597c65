package frostreel.lab.model;

/**
 * The figures by which servers behave; those that the settings state as rules are the same.
 *
 * @param coldFrom share of its capacity with which a server starts, and {@code warmAfterUs} when it is warm
 * @param fallMultiple sent more than so many times its present capacity over {@code fallUs}, a cold one falls
 * @param informedShare the least part of that work, from senders that knew of the start, by which a fall breaks
 *     the rule
 * @param slackUs the mean work of a request, by which the rule leaves room for chance: where so many times
 *     its capacity are N such, it falls beyond N and two roots of N and two; 0 for a fall beyond N
 * @param cancels whether work that its sender gives up stops, once it runs
 * @param replayRate seconds of the log that a replica applies in a second, over 1 where it can catch up
 * @param commitsWait whether a write is answered only once a replica has it, so that none is lost
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
    /** Those of the site in service. */
    public static final ServerParameters USUAL =
            new ServerParameters(0.22, 15_000_000, 3, 2_000_000, 8_000, 1.8, 64, 0, 0, true, true);
}
