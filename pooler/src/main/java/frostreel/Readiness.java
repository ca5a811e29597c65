package frostreel;

import frostreel.frontend.Listener;
import frostreel.operation.ReadinessStatus;
import frostreel.operation.ServingLifecycle;
import java.util.logging.Logger;

/**
 * Decides when this process begins to serve: once servers are known, the operators' commands of earlier
 * incarnations are restored, and its sockets listen. Owned by the I/O thread.
 */
final class Readiness {
    private static final Logger LOG = Logger.getLogger(Readiness.class.getName());

    private final ServingLifecycle lifecycle;
    private final Listener listener;
    private Runnable beforeServing = () -> {};
    private boolean serversKnown;
    private boolean commandsRestored;
    private boolean socketsOpen;

    Readiness(ServingLifecycle lifecycle, Listener listener) {
        this.lifecycle = lifecycle;
        this.listener = listener;
    }

    /** Sets what runs right before clients are admitted for the first time. */
    void beforeServing(Runnable action) {
        beforeServing = action;
    }

    /** Endpoints are known, or have been waited for long enough. */
    void serversKnown() {
        serversKnown = true;
        serveOnceComplete();
    }

    /** The operators' commands that earlier incarnations stored are in force. */
    void commandsRestored() {
        commandsRestored = true;
        serveOnceComplete();
    }

    /** All sockets listen. */
    void socketsOpen() {
        socketsOpen = true;
        serveOnceComplete();
    }

    private void serveOnceComplete() {
        boolean complete = serversKnown && commandsRestored && socketsOpen;
        if (complete && lifecycle.status() == ReadinessStatus.STARTING) {
            beforeServing.run();
            lifecycle.markReady();
            listener.applyLifecycle();
            LOG.info("ready");
        }
    }

    /** Returns the first thing that is still waited for, in the words of {@code SHOW health}. */
    String missing() {
        if (!serversKnown) {
            return "servers";
        }
        if (!commandsRestored) {
            return "orders";
        }
        return socketsOpen ? "nothing" : "sockets";
    }
}
