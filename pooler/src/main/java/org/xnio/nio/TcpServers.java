package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Makes XNIO's accept thread accept from a listening socket that is open already, and call the listener on
 * that thread. XNIO has no public way to take one, and its own hides behind a queue what
 * {@link AcceptBackOff} has to see; the constructor used here is this package's own, and is to be looked at
 * when XNIO is renewed.
 */
public final class TcpServers {
    private static final int BACKLOG = 1024;

    private TcpServers() {}

    /**
     * Binds a socket and listens on it.
     *
     * @throws IOException where the address is taken or not ours, or the system gives no socket
     */
    public static AcceptingChannel<StreamConnection> bind(
            XnioWorker worker,
            InetSocketAddress address,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener,
            OptionMap options)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.socket().setReuseAddress(true);
            channel.bind(address, options.get(Options.BACKLOG, BACKLOG));
            return accepting(worker, channel, listener, options);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * The socket is descriptor 0. The channel must never be closed, only suspended: with it the JDK gives
     * descriptors 0 to 2 to {@code /dev/null}, and the last log lines are lost.
     *
     * @throws IOException where descriptor 0 is no listening socket
     */
    public static AcceptingChannel<StreamConnection> inherit(
            XnioWorker worker, ChannelListener<? super AcceptingChannel<StreamConnection>> listener, OptionMap options)
            throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel channel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        return accepting(worker, channel, listener, options);
    }

    private static AcceptingChannel<StreamConnection> accepting(
            XnioWorker worker,
            ServerSocketChannel channel,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener,
            OptionMap options)
            throws IOException {
        channel.configureBlocking(false);
        NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, true);
        server.setAcceptListener(listener);
        return server;
    }
}
