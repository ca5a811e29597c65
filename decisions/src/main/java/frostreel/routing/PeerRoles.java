package frostreel.routing;

import frostreel.routing.Router.Role;

/**
 * What the processes of one pooler have been told about the roles of members. The two processes of an upgrade count as
 * one pooler, so what either has been told binds both. Called for each request and each response: implementations
 * must return within microseconds and allocate nothing. Members are
 * identified by the {@link StableHash} of their ids. Times are microseconds on the pooler's clock.
 */
public interface PeerRoles {
    /** Time of a role for which there is no evidence. */
    long NO_EVIDENCE = -1;

    /** The roles known to a pooler that never has a second process: its router knows all there is. */
    PeerRoles NONE = new Unshared(true);

    /** The roles known to a process that cannot exchange them with the others. */
    PeerRoles UNKNOWN = new Unshared(false);

    /** No roles of other processes; {@code complete}: whether that is all there is. */
    record Unshared(boolean complete) implements PeerRoles {
        @Override
        public void refresh(long nowUs) {}

        @Override
        public void publish(long memberKey, Role role, long atUs) {}

        @Override
        public void read(long memberKey, Evidence result) {
            result.set(NO_EVIDENCE, NO_EVIDENCE, complete);
        }
    }

    /** The latest evidence for the role of one member; filled by {@link #read}, so that no object is allocated. */
    final class Evidence {
        private long primaryAtUs;
        private long replicaAtUs;
        private boolean complete;

        /** Replaces the content, see the accessors. */
        public void set(long newPrimaryAtUs, long newReplicaAtUs, boolean isComplete) {
            primaryAtUs = newPrimaryAtUs;
            replicaAtUs = newReplicaAtUs;
            complete = isComplete;
        }

        /** Time as of which the member was last known to be the primary, or {@link #NO_EVIDENCE}. */
        public long primaryAtUs() {
            return primaryAtUs;
        }

        /** Time as of which the member was last known to be a replica, or {@link #NO_EVIDENCE}. */
        public long replicaAtUs() {
            return replicaAtUs;
        }

        /**
         * Whether this is all that the processes have been told about the member. If not, the member may be a replica
         * although a process has been told that it is the primary, or although the endpoint list names it as such.
         */
        public boolean complete() {
            return complete;
        }
    }

    /** Takes over what the other processes have published since; cheap if called often. */
    void refresh(long nowUs);

    /** Tells the other processes that a member had this role, primary or replica, at {@code atUs}. */
    void publish(long memberKey, Role role, long atUs);

    /** Reads what all processes, this one included, had been told about a member at the last {@link #refresh}. */
    void read(long memberKey, Evidence result);
}
