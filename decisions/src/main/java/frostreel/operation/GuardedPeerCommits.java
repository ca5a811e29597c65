package frostreel.operation;

import frostreel.routing.PeerCommits;
import frostreel.routing.Router;

/**
 * The commits that the other processes of a pooler share, for a process that they may not share all of them with. As
 * long as there may be others, any session may have committed at any time, so that a read must see every commit whose
 * response counts as known by now. Times are microseconds on the pooler's clock.
 */
public final class GuardedPeerCommits implements PeerCommits {
    private final PeerCommits sharedCommits;
    private final long strangersUntilUs;
    private volatile boolean cutOff;

    /**
     * @param strangersUntilUs time until which processes that do not share their commits may be serving
     */
    public GuardedPeerCommits(PeerCommits sharedCommits, long strangersUntilUs) {
        this.sharedCommits = sharedCommits;
        this.strangersUntilUs = strangersUntilUs;
    }

    /** From now on nothing is known of the others' commits; from any thread. */
    public void cutOff() {
        cutOff = true;
    }

    @Override
    public long requiredPositionUs(long nowUs, long session) {
        long knownUs = nowUs - Router.KNOWN_AFTER_US;
        if (cutOff) {
            return knownUs;
        }
        return Math.max(sharedCommits.requiredPositionUs(nowUs, session), Math.min(knownUs, strangersUntilUs));
    }
}
