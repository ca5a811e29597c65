package frostreel.discovery;

import java.util.logging.Logger;

/**
 * Tracks whether the agent responds, for the log and for operators. An outage is logged once at its start and once
 * at its end.
 */
final class DiscoveryStatus {
    /** Logs under the name of the watch, by which operators know these lines. */
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());

    private static final long MICROS_PER_MILLI = 1000;
    private static final long NEVER = 0;
    /** Reported as the time since the last response if there has been none. */
    private static final long NO_AGE = -1;

    private boolean responding;
    private long lastResponseUs = NEVER;
    /** When the current outage was detected, {@link #NEVER} if there is none. */
    private long outageStartUs = NEVER;

    /** Records a response. */
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

    /** Whether the latest result of a request was a response, rather than a failure or a timeout. */
    boolean isResponding() {
        return responding;
    }

    /** Returns the discovery fields of {@code SHOW health}, with the version of the current endpoint list. */
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
