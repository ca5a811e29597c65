package frostreel.control;

import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.operation.RecentRequestIds;
import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Logger;

/**
 * Shares the ids of requests that must not run again with the other processes of the same pooler, through a file. If
 * another process cannot serve concurrently, or the file cannot be used, this process knows its own ids alone. Confined
 * to the I/O thread once it is opened.
 */
public final class PeerProcessRequestIds {
    /** "frostri" in ASCII, then the version of the layout. */
    static final SharedTableFile.Format FORMAT =
            new SharedTableFile.Format("request-ids", 0x66726f7374726901L, RecentRequestIds.LONGS);

    private static final Logger LOG = Logger.getLogger(PeerProcessRequestIds.class.getName());

    private final RecentRequestIds recentIds;
    /** Null if the ids are not shared. */
    private final SharedTableCheck fileCheck;

    private PeerProcessRequestIds(RecentRequestIds recentIds, SharedTableCheck fileCheck) {
        this.recentIds = recentIds;
        this.fileCheck = fileCheck;
    }

    /** Opens the file if ids are shared. Blocks, so it must be called before the event loop starts. */
    public static PeerProcessRequestIds open(Config config, EventLoop loop) {
        if (!config.inheritsListener()) {
            return new PeerProcessRequestIds(RecentRequestIds.ofSingleProcess(), null);
        }
        try {
            Path folder = config.commandFolder().orElseThrow(() -> new IOException("no folder for shared files"));
            SharedTableChannel table = SharedTableChannel.open(folder, FORMAT);
            RecentRequestIds recentIds = new RecentRequestIds(
                    table, SharedTableFile.newIncarnation(), loop.clock().now());
            return new PeerProcessRequestIds(recentIds, new SharedTableCheck(loop, table));
        } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
            LOG.warning("ids of peer processes unknown: " + e);
            return new PeerProcessRequestIds(RecentRequestIds.ofSingleProcess(), null);
        }
    }

    /** The ids of requests that must not run again. */
    public RecentRequestIds recentIds() {
        return recentIds;
    }

    /** To be called with the current time several times a second. */
    public void onHeartbeat(long nowUs) {
        if (fileCheck != null) {
            recentIds.onHeartbeat(nowUs);
            fileCheck.start();
        }
    }
}
