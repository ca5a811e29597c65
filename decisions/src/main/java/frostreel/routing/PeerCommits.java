package frostreel.routing;

/**
 * The commits that sessions may have made through another process of the same pooler, during or before a
 * handover. Asked with every session read: answers within nanoseconds and allocates nothing.
 */
public interface PeerCommits {
    /** Of a process that has no peers: requires nothing. */
    PeerCommits NONE = (nowUs, session) -> 0;

    /** The position that a read of the session must see now because of those commits, 0 for any. */
    long requiredPositionUs(long nowUs, long session);
}
