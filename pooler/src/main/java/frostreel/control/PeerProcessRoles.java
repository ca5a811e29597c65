package frostreel.control;

import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.operation.SharedRoleTable;
import frostreel.routing.PeerRoles;
import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Logger;

/**
 * Shares what this process is told about members' roles with the other processes of the same pooler, through a file.
 * Enabled only if another process may serve concurrently. If the file cannot be used, the others' knowledge is unknown,
 * and no member is taken for the primary without a proof in its response. Confined to the I/O thread once it is opened.
 */
public final class PeerProcessRoles {
    private static final Logger LOG = Logger.getLogger(PeerProcessRoles.class.getName());

    private final PeerRoles peerRoles;
    /** Null, like {@link #fileCheck}, if roles are not shared. */
    private final SharedRoleTable table;

    private final SharedTableCheck fileCheck;

    private PeerProcessRoles(PeerRoles withoutTable) {
        peerRoles = withoutTable;
        table = null;
        fileCheck = null;
    }

    private PeerProcessRoles(SharedRoleTable table, SharedTableCheck fileCheck) {
        peerRoles = table;
        this.table = table;
        this.fileCheck = fileCheck;
    }

    /**
     * Opens the file if roles are shared. Blocks, so it must be called before the event loop starts.
     *
     * @param isFirstProcess whether no process of this pooler has run before, see {@link SharedClock#isFirstProcess}
     */
    public static PeerProcessRoles open(Config config, EventLoop loop, boolean isFirstProcess) {
        if (!config.inheritsListener()) {
            return new PeerProcessRoles(PeerRoles.NONE);
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
                return new PeerProcessRoles(table, new SharedTableCheck(loop, storage));
            } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
                warn(e.toString());
                return new PeerProcessRoles(PeerRoles.UNKNOWN);
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
            fileCheck.start();
        }
    }
}
