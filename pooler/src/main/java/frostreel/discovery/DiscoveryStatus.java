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

    private boolean responding;
    private long lastResponseUs = NEVER;
    /** When the present outage was detected; {@link #NEVER} where there is none. */
    private long outageStartUs = NEVER;

    /** Records that a request was answered. */
    void recordResponse(long nowUs) {
        responding = true;
        lastResponseUs = nowUs;
        if (outageStartUs != NEVER) {
            LOG.info("discovery recovered after " + toMs(nowUs - outageStartUs) + " ms");
            outageStartUs = NEVER;
        }
    }

    /** Records that a request failed or is overdue. */
    void recordFailure(long nowUs, String reason) {
        if (outageStartUs == NEVER) {
            outageStartUs = nowUs;
            LOG.warning("discovery: " + reason + "; keeping the last endpoint list");
        }
        responding = false;
    }

    /** Whether the latest request with a result was answered, rather than failed or overdue. */
    boolean isResponding() {
        return responding;
    }

    /** The fields of {@code SHOW health} on discovery, with the version of the list held. */
    String describe(long nowUs, long version) {
        return "discovery=" + state()
                + " discovery_version=" + version
                + " discovery_answered_ms_ago=" + (lastResponseUs == NEVER ? NO_AGE : toMs(nowUs - lastResponseUs))
                + " discovery_silent_ms=" + (outageStartUs == NEVER ? 0 : toMs(nowUs - outageStartUs));
    }

    private String state() {
        if (outageStartUs != NEVER) {
            return "silent";
        }
        return lastResponseUs == NEVER ? "asked" : "answering";
    }

    private static long toMs(long us) {
        return us / MICROS_PER_MILLI;
    }
}
