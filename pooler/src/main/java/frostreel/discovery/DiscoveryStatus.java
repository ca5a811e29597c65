package frostreel.discovery;

import java.util.logging.Logger;

/**
 * Whether the agent answers, for the log and for operators. An outage is logged once at its start and once at
 * its end.
 */
final class DiscoveryStatus {
    /** Operators know the lines by the name of the watch. */
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());

    private static final long MICROS_PER_MILLI = 1000;
    private static final long NEVER = 0;
    /** Shown for the time since the last answer where there has been none. */
    private static final long NO_AGE = -1;

    private boolean answering;
    private long lastAnsweredUs = NEVER;
    /** When the present outage was detected; {@link #NEVER} where there is none. */
    private long silentSinceUs = NEVER;

    /** Records that a request was answered. */
    void answered(long nowUs) {
        answering = true;
        lastAnsweredUs = nowUs;
        if (silentSinceUs != NEVER) {
            LOG.info("discovery recovered after " + toMs(nowUs - silentSinceUs) + " ms");
            silentSinceUs = NEVER;
        }
    }

    /** Records that a request failed or is overdue. */
    void failed(long nowUs, String reason) {
        if (silentSinceUs == NEVER) {
            silentSinceUs = nowUs;
            LOG.warning("discovery: " + reason + "; keeping the last endpoint list");
        }
        answering = false;
    }

    /** Whether the latest request with a result was answered, rather than failed or overdue. */
    boolean isAnswering() {
        return answering;
    }

    /** The fields of {@code SHOW health} on discovery, with the version of the list held. */
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
        return us / MICROS_PER_MILLI;
    }
}
