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
 * Opens the listening sockets at the start, the one for clients first. The process exits if an address is in use or
 * not local. Other failures, such as a lack of descriptors or buffers, are retried for a limited time before it exits.
 * Confined to the event loop, except for the methods that wait for the sockets.
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
    /** Whether the socket for clients is open, in which case a retry must not open it again. */
    private boolean clientListenerOpen;

    ServingSockets(
            EventLoop loop, Config config, Listener clientListener, AdminListener adminListener, Readiness readiness) {
        this.loop = loop;
        this.config = config;
        this.clientListener = clientListener;
        this.adminListener = adminListener;
        this.readiness = readiness;
    }

    /** Opens all sockets, with retries if necessary; on the I/O thread. */
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
            // On a separate thread: exit waits for the shutdown hook, which waits for the I/O thread.
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

    /** Waits until the sockets are open, and returns the admin endpoint or null; not for the I/O thread. */
    InetSocketAddress adminAddress() throws InterruptedException {
        opened.await();
        return adminListener == null ? null : adminListener.address();
    }
}
