package frostreel.cluster;

/**
 * A pooler's membership of the group, and its means to send messages to the other members. Called on its
 * owner's thread; no call blocks. Events come to a {@link Listener} on that same thread.
 *
 * <p>Messages of one sender to one receiver arrive in order, each complete or not at all. A message to a peer
 * that leaves, or across a partition that lasts until the peer is out of the view, is lost without notice.
 */
public interface Membership {
    /** The largest message, in bytes. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /** Notified of what happens in the group. */
    interface Listener {
        /** Members have joined or left; {@code before} is {@link MembershipView#NONE} at first. */
        void onViewChanged(MembershipView view, MembershipView before);

        /**
         * A member of the view is not heard any more; a view without it may follow, or it is heard again. If
         * another member was faster, the view without it comes with no suspicion before it.
         */
        void onSuspected(Peer peer);

        /** A message has arrived; the array is the listener's. */
        void onMessage(Peer from, byte[] message);

        /** Joining failed for good, for instance as the address cannot be bound; no other event follows. */
        void onJoinFailed(String reason);
    }

    /**
     * Checks a message for an implementation.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_MESSAGE_BYTES}
     */
    static void checkSize(byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(message.length + " bytes, at most " + MAX_MESSAGE_BYTES);
        }
    }

    /** This pooler, in its present incarnation. */
    Peer self();

    /** The latest view of which the listener was notified. */
    MembershipView view();

    /**
     * Sends a message to one peer.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_MESSAGE_BYTES}
     */
    void send(Peer to, byte[] message);

    /**
     * Sends a message to all other members of the view.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_MESSAGE_BYTES}
     */
    void broadcast(byte[] message);

    /** Leaves, so that the other members know at once; no event follows. */
    void leave();
}
