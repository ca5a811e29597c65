package frostreel.discovery;

import java.util.logging.Logger;

/**
 * Whether the agent answers, for the log and for operators. An outage is logged once at its start and at its
 * end.
 */
final class DiscoveryStatus {
    /** Under the name of the watch, by which operators know its lines. */
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());

    private static final long NEVER = 0;
    /** Shown in place of an age where there has been no answer. */
    private static final long NO_AGE = -1;

    private boolean answering;
    private long lastAnsweredUs = NEVER;
    /** When the present outage was first noticed, or {@link #NEVER}. */
    private long silentSinceUs = NEVER;

    /** A request was answered. */
    void answered(long nowUs) {
        answering = true;
        lastAnsweredUs = nowUs;
        if (silentSinceUs != NEVER) {
            LOG.info("discovery recovered after " + toMs(nowUs - silentSinceUs) + " ms");
            silentSinceUs = NEVER;
        }
    }

    /** A request failed, or is overdue. */
    void failed(long nowUs, String reason) {
        if (silentSinceUs == NEVER) {
            silentSinceUs = nowUs;
            LOG.warning("discovery: " + reason + "; keeping the last endpoint list");
        }
        answering = false;
    }

    /** Whether the last request that came to an end was answered. */
    boolean isAnswering() {
        return answering;
    }

    /** The fields of {@code SHOW health} on discovery; {@code version}: of the list held. */
    String describe(long nowUs, long version) {
        return "discovery=" + state()
                + " discovery_version=" + version
                + " discovery_answered_ms_ago=" + (lastAnsweredUs == NEVER ? NO_AGE : toMs(nowUs - lastAnsweredUs))
                + " discovery_silent_ms=" + (silentSinceUs == NEVER ? 0 : toMs(nowUs - silentSinceUs));
    }

    private String state() {
        if (silentSinceUs != NEVER) {
            return "silent";
        }
        return lastAnsweredUs == NEVER ? "asked" : "answering";
    }

    private static long toMs(long us) {
        return us / 1000;
    }
}
