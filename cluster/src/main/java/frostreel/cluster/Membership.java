package frostreel.cluster;

/**
 * A pooler's membership in the cluster, which exchanges messages with the other members. Called on the owner's
 * thread; no call blocks. The {@link Listener} is notified on the same thread.
 *
 * <p>Messages from one sender to one receiver are delivered in order, each complete or not at all. A message is lost
 * without notification if its receiver leaves, or if a partition separates the receiver until it has left the view.
 */
public interface Membership {
    /** Maximum size of a message. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /** Receives the events of the cluster. */
    interface Listener {
        /** Members have joined or left; {@code previous} is {@link MembershipView#NONE} at the first call. */
        void onViewChanged(MembershipView view, MembershipView previous);

        /**
         * Heartbeats of a member of the view are missing. Either the heartbeats resume or a view without the member
         * follows. If another member detects the failure first, that view arrives without this call.
         */
        void onSuspected(Peer peer);

        /** A message has arrived; the listener may keep and modify the array. */
        void onMessage(Peer from, byte[] message);

        /** Joining failed permanently, for example because the address cannot be bound; no other event follows. */
        void onJoinFailed(String reason);
    }

    /**
     * Checks the size of a message; used by implementations.
     *
     * @throws IllegalArgumentException if the message exceeds {@link #MAX_MESSAGE_BYTES}
     */
    static void checkSize(byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    "message of " + message.length + " bytes; at most " + MAX_MESSAGE_BYTES + " are allowed");
        }
    }

    /** This pooler, in its current incarnation. */
    Peer self();

    /** The latest view of which the listener has been notified. */
    MembershipView view();

    /**
     * Sends a message to one peer.
     *
     * @throws IllegalArgumentException if the message exceeds {@link #MAX_MESSAGE_BYTES}
     */
    void send(Peer to, byte[] message);

    /**
     * Sends a message to all other members of the view.
     *
     * @throws IllegalArgumentException if the message exceeds {@link #MAX_MESSAGE_BYTES}
     */
    void broadcast(byte[] message);

    /** Leaves the cluster, and notifies the other members at once; no event follows. */
    void leave();
}
