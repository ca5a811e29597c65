package frostreel.routing;

/**
 * The commits that sessions may have made through another process of the same pooler, during or before a
 * handover. Asked with every session read: answers within nanoseconds and allocates nothing.
 */
public interface PeerCommits {
    /** The position that a read of the session must see now, 0 for any. */
    long boundUs(long nowUs, long session);
}
