package frostreel.cluster;

/**
 * What a pooler knows of its fellows, and its way to speak to them. Called on the thread of its owner, and no
 * call waits for anything; what is learnt comes to a {@link Listener} on that same thread.
 *
 * <p>Messages arrive whole, those of one sender to one receiver in their order, or not at all: what is sent
 * to a peer that leaves, or through a cut that outlasts its place in the view, is lost without a word.
 */
public interface Membership {
    /** Of one message, in bytes; longer ones are to be sent in parts. */
    int MAX_MESSAGE_BYTES = 64 * 1024;

    /** Learns what happens in the group. */
    interface Listener {
        /** Others came, went, or both; {@code before} is {@link MembershipView#NONE} at first. */
        void onViewChanged(MembershipView view, MembershipView before);

        /**
         * A member of the view has gone silent; a view without it may follow, or it is heard again. Where
         * another member was faster, the view without it comes with no such word before.
         */
        void onSuspected(Peer peer);

        void onMessage(Peer from, byte[] message);

        /** It could not take part at all, as where its address is not to be had; nothing else follows. */
        void onJoinFailed(String why);
    }

    /** Refuses a message that is too long, for whoever carries them. */
    static void checkSize(byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(message.length + " bytes, at most " + MAX_MESSAGE_BYTES);
        }
    }

    /** This pooler, in its present life. */
    Peer self();

    /** The newest view that the listener was told of. */
    MembershipView view();

    /**
     * To one peer.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_MESSAGE_BYTES}
     */
    void send(Peer to, byte[] message);

    /**
     * To all others in the view.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_MESSAGE_BYTES}
     */
    void broadcast(byte[] message);

    /** Leaves so that the others know at once; no event comes after it. */
    void leave();
}
