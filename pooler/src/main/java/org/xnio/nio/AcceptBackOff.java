package org.xnio.nio;

import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptingChannel;

/**
 * XNIO's back-off from accepting: where the system fails an accept, XNIO accepts nothing for 250 ms, and for four times
 * as long at each further failure, up to 30 s. XNIO has no public way to see or to end that; the methods used here are
 * package-private in XNIO, and have to be checked at each update of XNIO. Called on the accept thread.
 */
public final class AcceptBackOff {
    private AcceptBackOff() {}

    /** The thread on which the channel accepts; from any thread. */
    public static XnioIoThread thread(AcceptingChannel<StreamConnection> channel) {
        return handle(channel).getWorkerThread();
    }

    /** Whether the last accept failed, so that nothing is accepted until {@link #end}, or for long. */
    public static boolean isOn(AcceptingChannel<StreamConnection> channel) {
        return handle(channel).getBackOffTime() > 0;
    }

    /** Accepts again, as far as accepting is not suspended, and forgets the failures so far. */
    public static void end(AcceptingChannel<StreamConnection> channel) {
        NioTcpServerHandle handle = handle(channel);
        handle.resetBackOff();
        handle.endBackOff();
    }

    /** All connections are accepted on the one accept thread. */
    private static NioTcpServerHandle handle(AcceptingChannel<StreamConnection> channel) {
        return ((NioTcpServer) channel).getHandle(0);
    }
}
