package frostreel.routing;

/**
 * The commits that sessions may have made through another process of the same pooler, during or before a
 * handover. Queried for every session read: implementations must return within nanoseconds and allocate nothing.
 */
public interface PeerCommits {
    /** The commits of a process without peers: none. */
    PeerCommits NONE = (nowUs, session) -> Router.NO_POSITION;

    /** The position that a read of the session must reflect because of them, or {@link Router#NO_POSITION}. */
    long requiredPositionUs(long nowUs, long session);
}
