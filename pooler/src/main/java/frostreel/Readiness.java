package frostreel;

import frostreel.operation.ReadinessStatus;
import frostreel.operation.ServingLifecycle;
import java.util.EnumSet;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Decides when this process begins to serve: once servers are known, the operators' commands that earlier
 * processes stored are restored, and the sockets are open. Confined to the event loop.
 */
final class Readiness {
    private static final Logger LOG = Logger.getLogger(Readiness.class.getName());
    private static final String NOTHING_MISSING = "nothing";

    /** The prerequisites of serving, in the order in which {@link #missing} reports them. */
    private enum Prerequisite {
        SERVERS("servers"),
        COMMANDS("orders"),
        SOCKETS("sockets");

        private final String statusName;

        Prerequisite(String statusName) {
            this.statusName = statusName;
        }
    }

    private final ServingLifecycle lifecycle;
    private final Runnable admitClients;
    private final Set<Prerequisite> missing = EnumSet.allOf(Prerequisite.class);
    private Runnable beforeServing = () -> {};

    /**
     * @param admitClients runs once the lifecycle is ready, and admits clients as far as the lifecycle permits
     */
    Readiness(ServingLifecycle lifecycle, Runnable admitClients) {
        this.lifecycle = lifecycle;
        this.admitClients = admitClients;
    }

    /** Sets an action that runs right before clients are admitted for the first time. */
    void beforeServing(Runnable action) {
        beforeServing = action;
    }

    /** Reports that servers are known, or that the wait for them has timed out. */
    void serversKnown() {
        markFulfilled(Prerequisite.SERVERS);
    }

    /** Reports that the operators' commands that earlier processes stored are in force again. */
    void commandsRestored() {
        markFulfilled(Prerequisite.COMMANDS);
    }

    /** Reports that all listening sockets are open. */
    void socketsOpen() {
        markFulfilled(Prerequisite.SOCKETS);
    }

    private void markFulfilled(Prerequisite prerequisite) {
        missing.remove(prerequisite);
        if (missing.isEmpty() && lifecycle.status() == ReadinessStatus.STARTING) {
            beginServing();
        }
    }

    private void beginServing() {
        beforeServing.run();
        lifecycle.markReady();
        admitClients.run();
        LOG.info("ready");
    }

    /** Returns the first missing prerequisite, as {@code SHOW health} names it. */
    String missing() {
        return missing.isEmpty() ? NOTHING_MISSING : missing.iterator().next().statusName;
    }
}
