package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Makes XNIO accept from a listening socket that the process was started with. XNIO has no public way to take
 * a channel that is open already; the constructor used here is this package's own, and all there is to look
 * at when XNIO is renewed.
 */
public final class InheritedServer {
    private InheritedServer() {}

    /**
     * The socket is descriptor 0. The channel must never be closed, only suspended: with it the JDK gives
     * descriptors 0 to 2 to {@code /dev/null}, and the last log lines are lost.
     *
     * @throws IOException where descriptor 0 is no listening socket
     */
    public static AcceptingChannel<StreamConnection> open(XnioWorker worker,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener, OptionMap options)
            throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel channel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        channel.configureBlocking(false);
        NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
        server.setAcceptListener(listener);
        return server;
    }
}
