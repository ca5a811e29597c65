package frostreel.lab.model;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;

/** A request at a server; it ends once, or is cancelled. */
public final class Job {
    /** Hears what a server answers, in the moment in which it does. */
    public interface Listener {
        /**
         * The request ended.
         *
         * @param positionUs how far the server's log was applied
         * @param utilization the share of the server's cores in use
         */
        void ended(Outcome outcome, Role role, long positionUs, double utilization);
    }

    final double workUs;
    final boolean write;
    final long requiredPositionUs;
    final boolean senderKnewStart;
    final Listener listener;
    boolean over;
    boolean running;

    /** A request whose sender knows of the server's last start. */
    public Job(double workUs, boolean write, long requiredPositionUs, Listener listener) {
        this(workUs, write, requiredPositionUs, true, listener);
    }

    /**
     * A request.
     *
     * @param workUs microseconds of a core of speed 1
     * @param requiredPositionUs the position that a read has to see, 0 for any
     * @param senderKnewStart whether its sender had been told of the server's last start
     */
    public Job(double workUs, boolean write, long requiredPositionUs, boolean senderKnewStart, Listener listener) {
        this.workUs = workUs;
        this.write = write;
        this.requiredPositionUs = requiredPositionUs;
        this.senderKnewStart = senderKnewStart;
        this.listener = listener;
    }
}
