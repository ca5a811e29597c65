package frostreel.control;

import frostreel.config.Config;
import frostreel.operation.SharedCommitTable;
import frostreel.operation.WriteObserver;
import frostreel.routing.PeerCommits;
import frostreel.routing.Router;
import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Logger;

/**
 * Shares sessions' commits with the other processes of the same pooler through a memory-mapped file. Enabled only if
 * another process may serve concurrently and the settings track sessions by remembering their commits. If the file
 * cannot be used, the commits of the others are unknown, and each session read must see all commits whose responses
 * clients may already have.
 *
 * @param writeObserver records the writes of this process for the others
 * @param peerCommits returns the position that a read must see because of commits through other processes
 */
public record PeerProcessCommits(WriteObserver writeObserver, PeerCommits peerCommits) {
    private static final Logger LOG = Logger.getLogger(PeerProcessCommits.class.getName());

    /** Opens the file if commits are shared. Blocks, so it must be called before the event loop starts. */
    public static PeerProcessCommits open(Config config, long nowUs) {
        if (!config.inheritsListener() || config.settings().sessionTracking() != Router.SessionTracking.REMEMBERED) {
            return new PeerProcessCommits(WriteObserver.NONE, PeerCommits.NONE);
        }
        return SharedFile.open(config, nowUs);
    }

    /** A separate class, so that a process without peers does not load the classes that it uses. */
    static final class SharedFile {
        /** "frostre" in ASCII, then the version of the layout. */
        static final SharedTableFile.Format FORMAT =
                new SharedTableFile.Format("commits", 0x66726f7374726501L, SharedCommitTable.LONGS);

        static PeerProcessCommits open(Config config, long nowUs) {
            try {
                Path folder = config.commandFolder().orElseThrow(() -> new IOException("no folder for shared files"));
                SharedTableFile file = SharedTableFile.open(folder, FORMAT);
                SharedCommitTable table = new SharedCommitTable(file, SharedTableFile.newIncarnation(), nowUs);
                if (file.origin() == SharedTableFile.Origin.REPLACED) {
                    warn(folder.resolve(FORMAT.fileName()) + " was corrupt or of another version; replaced");
                    return new PeerProcessCommits(table, SharedCommitTable.UNKNOWN_PEER_COMMITS);
                }
                return new PeerProcessCommits(table, table);
            } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
                warn(e.toString());
                return new PeerProcessCommits(WriteObserver.NONE, SharedCommitTable.UNKNOWN_PEER_COMMITS);
            }
        }

        private static void warn(String reason) {
            LOG.warning("commits of peer processes unknown: " + reason);
        }
    }
}
