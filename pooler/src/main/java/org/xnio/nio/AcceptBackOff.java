package org.xnio.nio;

import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptingChannel;

/**
 * Access to XNIO's backoff after a failed accept: XNIO accepts nothing for 250 ms, and for four times as long after
 * each further failure, up to 30 s. XNIO has no public API to observe or end that backoff; the methods used here are
 * package-private in XNIO, and have to be checked at each update of XNIO. Called on the accept thread.
 */
public final class AcceptBackOff {
    private AcceptBackOff() {}

    /** The thread on which the channel accepts; called on any thread. */
    public static XnioIoThread acceptThread(AcceptingChannel<StreamConnection> channel) {
        return handle(channel).getWorkerThread();
    }

    /** Whether the last accept failed, so that nothing is accepted until {@link #end} or the end of the backoff. */
    public static boolean isActive(AcceptingChannel<StreamConnection> channel) {
        return handle(channel).getBackOffTime() > 0;
    }

    /** Ends the backoff: resumes accepting unless it is suspended, and resets the backoff time. */
    public static void end(AcceptingChannel<StreamConnection> channel) {
        NioTcpServerHandle handle = handle(channel);
        handle.resetBackOff();
        handle.endBackOff();
    }

    /** There is one accept thread, so the handle with index 0 is the only one. */
    private static NioTcpServerHandle handle(AcceptingChannel<StreamConnection> channel) {
        return ((NioTcpServer) channel).getHandle(0);
    }
}
