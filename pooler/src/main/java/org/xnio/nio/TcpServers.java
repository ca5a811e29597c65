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
 * Opens XNIO servers on listening sockets of our own, whose listener runs on XNIO's accept thread.
 *
 * <p>XNIO has no public way to use a socket that is already open, and its own server passes connections through a queue
 * that hides what {@link AcceptBackOff} has to observe. The constructor used here is package-private in XNIO, and has
 * to be checked at each update of XNIO.
 */
public final class TcpServers {
    private static final int DEFAULT_BACKLOG = 1024;

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
            channel.bind(address, options.get(Options.BACKLOG, DEFAULT_BACKLOG));
            return createServer(worker, channel, listener, options);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Listens on the socket that this process inherited as descriptor 0. The channel must only be suspended, never
     * closed: on its close the JDK redirects descriptors 0 to 2 to {@code /dev/null}, and the last log lines are lost.
     *
     * @throws IOException if descriptor 0 is no listening socket
     */
    public static AcceptingChannel<StreamConnection> inherit(
            XnioWorker worker, ChannelListener<? super AcceptingChannel<StreamConnection>> listener, OptionMap options)
            throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel channel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        return createServer(worker, channel, listener, options);
    }

    private static AcceptingChannel<StreamConnection> createServer(
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
