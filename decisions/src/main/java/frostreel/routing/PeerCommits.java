package frostreel.routing;

/**
 * The commits that sessions may have made through another process of the same pooler, during or before a
 * handover. Asked with every session read: answers within nanoseconds and allocates nothing.
 */
public interface PeerCommits {
    /** Of a process that has no peers: requires nothing. */
    PeerCommits NONE = (nowUs, session) -> Router.NO_POSITION;

    /** The position that a read of the session must see now because of those commits, or {@link Router#NO_POSITION}. */
    long requiredPositionUs(long nowUs, long session);
}
