package org.xnio.nio;

import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptingChannel;

/**
 * What XNIO does where the system fails an accept: it stops accepting, for 250 ms and then four times as long
 * at each next failure, up to 30 s. XNIO has no public way to see that or to end it; the methods used here
 * are this package's own, and are to be looked at when XNIO is renewed. Called on the accept thread.
 */
public final class AcceptBackOff {
    private AcceptBackOff() {}

    /** The thread on which it accepts. */
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
