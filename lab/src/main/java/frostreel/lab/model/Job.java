package frostreel.lab.model;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;

/** A request at a server. It ends exactly once, or is cancelled. */
public final class Job {
    /** Notified of the server's answer, at the moment in which the server gives it. */
    public interface Listener {
        /**
         * The request has ended.
         *
         * @param positionUs the position that the server reports, in Unix microseconds
         * @param utilization the share of the server's cores in use, 0 to 1
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

    /**
     * A request whose sender knows of the server's last start.
     *
     * @param workUs CPU time in microseconds on a core of speed 1
     * @param requiredPositionUs the oldest position that may serve the read, 0 for any
     */
    public Job(double workUs, boolean write, long requiredPositionUs, Listener listener) {
        this(workUs, write, requiredPositionUs, true, listener);
    }

    /**
     * A request.
     *
     * @param workUs CPU time in microseconds on a core of speed 1
     * @param requiredPositionUs the oldest position that may serve the read, 0 for any
     * @param senderKnewStart whether the sender had been notified of the server's last start
     */
    public Job(double workUs, boolean write, long requiredPositionUs, boolean senderKnewStart, Listener listener) {
        this.workUs = workUs;
        this.write = write;
        this.requiredPositionUs = requiredPositionUs;
        this.senderKnewStart = senderKnewStart;
        this.listener = listener;
    }
}
