package frostreel;

import frostreel.config.Config;
import frostreel.control.AdminListener;
import frostreel.frontend.Listener;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Opens the listening sockets at the start, that for clients first. An address that is in use or not local ends
 * the process; opening a socket for which the system lacks descriptors or buffers is retried for a while.
 * Confined to the event loop, but for the methods that wait for the sockets.
 */
final class ServingSockets {
    private static final long RETRY_TIMEOUT_US = 20_000_000;
    private static final long RETRY_INTERVAL_US = 50_000;
    private static final int EXIT_CANNOT_LISTEN = 1;
    private static final Logger LOG = Logger.getLogger(ServingSockets.class.getName());

    private final EventLoop loop;
    private final Config config;
    private final Listener clientListener;
    /** Null if the configuration has no admin endpoint. */
    private final AdminListener adminListener;

    private final Readiness readiness;
    private final CountDownLatch opened = new CountDownLatch(1);
    /** Whether the socket for clients is open, so that a retry need not open it again. */
    private boolean clientListenerOpen;

    ServingSockets(
            EventLoop loop, Config config, Listener clientListener, AdminListener adminListener, Readiness readiness) {
        this.loop = loop;
        this.config = config;
        this.clientListener = clientListener;
        this.adminListener = adminListener;
        this.readiness = readiness;
    }

    /** Opens all sockets, at once or by retries; on the I/O thread. */
    void open() {
        open(loop.clock().now() + RETRY_TIMEOUT_US);
    }

    private void open(long retryUntilUs) {
        try {
            openClientListener();
            openAdminListener();
        } catch (IOException e) {
            onFailure(e, retryUntilUs);
            return;
        }
        opened.countDown();
        readiness.socketsOpen();
    }

    private void onFailure(IOException failure, long retryUntilUs) {
        if (failure instanceof BindException || loop.clock().now() >= retryUntilUs) {
            LOG.log(Level.SEVERE, "GW_LISTEN, GW_CONTROL: cannot listen on " + addresses(), failure);
            // On a thread of its own, as the exit waits for the shutdown hook, and that for the I/O thread.
            new Thread(() -> System.exit(EXIT_CANNOT_LISTEN), "exit").start();
        } else {
            LOG.warning("cannot listen yet: " + failure + "; retrying");
            loop.deadlines().after(RETRY_INTERVAL_US, () -> open(retryUntilUs));
        }
    }

    private void openClientListener() throws IOException {
        if (!clientListenerOpen) {
            clientListener.open(config.listenAddress(), config.inheritsListener());
            clientListenerOpen = true;
            LOG.info("listening on " + clientListener.address() + " as " + config.name());
        }
    }

    private void openAdminListener() throws IOException {
        if (adminListener != null) {
            adminListener.open(config.adminAddress().orElseThrow());
            LOG.info("admin endpoint listening on " + adminListener.address());
        }
    }

    private String addresses() {
        return config.listenAddress()
                + (adminListener == null ? "" : " and " + config.adminAddress().orElseThrow());
    }

    /** Waits until the sockets are open, and returns the address for clients; not for the I/O thread. */
    InetSocketAddress clientAddress() throws InterruptedException {
        opened.await();
        return clientListener.address();
    }

    /** Waits until the sockets are open, and returns the admin endpoint, null for none; not for the I/O thread. */
    InetSocketAddress adminAddress() throws InterruptedException {
        opened.await();
        return adminListener == null ? null : adminListener.address();
    }
}
