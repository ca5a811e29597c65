package frostreel.cluster;

/**
 * A pooler's membership of the group, with messages to the other members. Called on its owner's thread; no call
 * blocks. A {@link Listener} is notified on that same thread.
 *
 * <p>Messages from one sender to one receiver arrive in order, each as a whole or not at all. A message is lost
 * without notice if its receiver leaves, or is separated by a partition until it has left the view.
 */
public interface Membership {
    /** The largest message, in bytes. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /** Notified of the events of the group. */
    interface Listener {
        /** Members have joined or left; {@code previous} is {@link MembershipView#NONE} at first. */
        void onViewChanged(MembershipView view, MembershipView previous);

        /**
         * Heartbeats of a member of the view are missing. Either a view without it follows, or they resume. If
         * another member detects the failure first, the view without the peer comes without this call.
         */
        void onSuspected(Peer peer);

        /** A message has arrived; the listener may keep and change the array. */
        void onMessage(Peer from, byte[] message);

        /** Joining failed for good, for instance because the address cannot be bound; no other event follows. */
        void onJoinFailed(String reason);
    }

    /**
     * Checks the size of a message, for implementations.
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

    /** Leaves the group, of which the other members are notified at once; no event follows. */
    void leave();
}
