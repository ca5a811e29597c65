package frostreel.routing;

/**
 * The commits that sessions may have had through another process of this very pooler, which serves or
 * served beside this one. Asked with every session read; answers in a few nanoseconds, and allocates
 * nothing.
 */
public interface PeerCommits {
    /** The position that a read of that session must see at this time, 0 for any. */
    long boundUs(long nowUs, long session);
}
