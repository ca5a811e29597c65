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
 * Creates XNIO servers on listening sockets that are opened here or inherited; their listeners run on XNIO's accept
 * thread.
 *
 * <p>XNIO has no public API to use a socket that is already open, and the server that its API creates passes
 * connections through a queue, which hides the backoff that {@link AcceptBackOff} has to observe. The constructor used
 * here is package-private in XNIO, and has to be checked at each update of XNIO.
 */
public final class TcpServers {
    private static final int DEFAULT_BACKLOG = 1024;

    private TcpServers() {}

    /**
     * Binds a socket and listens on it.
     *
     * @throws IOException if the address is in use or not local, or if no socket can be opened
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
     * Listens on the socket that this process inherited as descriptor 0. The channel may be suspended but must not be
     * closed, as the JDK then redirects descriptors 0 to 2 to {@code /dev/null}, and the last log lines are lost.
     *
     * @throws IOException if descriptor 0 is not a listening socket
     */
    public static AcceptingChannel<StreamConnection> inherit(
            XnioWorker worker, ChannelListener<? super AcceptingChannel<StreamConnection>> listener, OptionMap options)
            throws IOException {
        Channel inherited = System.inheritedChannel();
        if (!(inherited instanceof ServerSocketChannel channel)) {
            throw new IOException("descriptor 0 is not a listening socket");
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
