package frostreel.control;

import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.operation.SharedRoleTable;
import frostreel.routing.PeerRoles;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;

/**
 * Shares what this process is told about members' roles with the other processes of the same pooler, through a file.
 * Enabled only if another process may serve concurrently. If the file cannot be used, the others' knowledge is unknown,
 * and no member is taken for the primary without a proof in its response. Confined to the I/O thread once it is opened.
 */
public final class PeerProcessRoles {
    private static final Logger LOG = Logger.getLogger(PeerProcessRoles.class.getName());

    private final EventLoop loop;
    private final PeerRoles peerRoles;
    /** Null, like {@link #storage}, if roles are not shared. */
    private final SharedRoleTable table;

    private final SharedTableChannel storage;
    private boolean isCheckingFile;

    private PeerProcessRoles(EventLoop loop, PeerRoles withoutTable) {
        this.loop = loop;
        peerRoles = withoutTable;
        table = null;
        storage = null;
    }

    private PeerProcessRoles(EventLoop loop, SharedRoleTable table, SharedTableChannel storage) {
        this.loop = loop;
        peerRoles = table;
        this.table = table;
        this.storage = storage;
    }

    /**
     * Opens the file if roles are shared. Blocks, so it must be called before the event loop starts.
     *
     * @param isFirstProcess whether no process of this pooler has run before, see {@link SharedClock#isFirstProcess}
     */
    public static PeerProcessRoles open(Config config, EventLoop loop, boolean isFirstProcess) {
        if (!config.inheritsListener()) {
            return new PeerProcessRoles(loop, PeerRoles.NONE);
        }
        return SharedFile.open(config, loop, isFirstProcess);
    }

    /** A separate class, so that a process without peers does not load the classes that it uses. */
    static final class SharedFile {
        /** "frostrr" in ASCII, then the version of the layout. */
        static final SharedTableFile.Format FORMAT =
                new SharedTableFile.Format("roles", 0x66726f7374727201L, SharedRoleTable.LONGS);

        private SharedFile() {}

        private static PeerProcessRoles open(Config config, EventLoop loop, boolean isFirstProcess) {
            try {
                Path folder = config.commandFolder().orElseThrow(() -> new IOException("no folder for shared files"));
                SharedTableChannel storage = SharedTableChannel.open(folder, FORMAT);
                if (storage.origin() == SharedTableFile.Origin.REPLACED) {
                    warn(folder.resolve(FORMAT.fileName()) + " was corrupt or of another version; replaced");
                }
                boolean hasNoPeers = isFirstProcess && storage.origin() == SharedTableFile.Origin.CREATED;
                long nowUs = loop.clock().now();
                long strangersUntilUs = hasNoPeers ? nowUs : nowUs + SharedTableFile.STRANGERS_SERVE_US;
                long incarnation = SharedTableFile.newIncarnation();
                SharedRoleTable table = new SharedRoleTable(storage, incarnation, nowUs, strangersUntilUs);
                return new PeerProcessRoles(loop, table, storage);
            } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
                warn(e.toString());
                return new PeerProcessRoles(loop, PeerRoles.UNKNOWN);
            }
        }

        private static void warn(String reason) {
            LOG.warning("roles known to peer processes unknown: " + reason);
        }
    }

    /** The roles for the router of this process. */
    public PeerRoles peerRoles() {
        return peerRoles;
    }

    /** To be called with the current time several times a second. */
    public void onHeartbeat(long nowUs) {
        if (table != null) {
            table.onHeartbeat(nowUs);
            checkFile();
        }
    }

    /** Looks on the task thread whether the file is still the one that other processes open. */
    private void checkFile() {
        if (isCheckingFile) {
            return;
        }
        isCheckingFile = true;
        SharedTableChannel.OpenFile inUse = storage.file();
        try {
            loop.worker().execute(() -> checkFile(inUse));
        } catch (RejectedExecutionException workerEnded) {
            LOG.fine("the worker has ended; the file of roles is no longer checked");
        }
    }

    private void checkFile(SharedTableChannel.OpenFile inUse) {
        SharedTableChannel.OpenFile current = inUse;
        try {
            current = storage.reopenIfReplaced(inUse);
        } catch (IOException | UnsupportedOperationException e) {
            LOG.fine("the file of roles cannot be opened again: " + e);
        }
        SharedTableChannel.OpenFile result = current;
        try {
            loop.thread().execute(() -> use(result));
        } catch (RejectedExecutionException loopEnded) {
            LOG.fine("the event loop has ended; the file of roles is no longer used");
        }
    }

    private void use(SharedTableChannel.OpenFile file) {
        isCheckingFile = false;
        if (!file.equals(storage.file())) {
            LOG.warning("the file of roles was damaged or replaced; written anew");
        }
        try {
            storage.use(file);
        } catch (IOException e) {
            LOG.fine("closing the former file of roles: " + e);
        }
    }
}
