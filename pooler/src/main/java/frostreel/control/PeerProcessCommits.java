package frostreel.control;

import frostreel.config.Config;
import frostreel.operation.SharedCommitTable;
import frostreel.operation.WriteObserver;
import frostreel.routing.PeerCommits;
import frostreel.routing.Router;
import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.logging.Logger;

/**
 * The exchange of sessions' commits with the other processes of the same pooler, by a file that all of them map.
 * There is one only where a second process may serve beside this one and settings have sessions' commits
 * remembered. If the file cannot be used, any commit of the others is assumed as soon as it counts as known.
 *
 * @param writeObserver learns of the writes of this process, for the others
 * @param peerCommits knows the commits of the others
 */
public record PeerProcessCommits(WriteObserver writeObserver, PeerCommits peerCommits) {
    private static final Logger LOG = Logger.getLogger(PeerProcessCommits.class.getName());

    /** Opens the file if there is to be one. Blocks, so call it before the event loop has work to do. */
    public static PeerProcessCommits open(Config config, long nowUs) {
        if (!config.inheritsListener() || config.settings().sessionTracking() != Router.SessionTracking.REMEMBERED) {
            return new PeerProcessCommits(WriteObserver.NONE, PeerCommits.NONE);
        }
        return SharedFile.open(config, nowUs);
    }

    /** Apart, so that a process without peers does not load the classes behind it. */
    private static final class SharedFile {
        static PeerProcessCommits open(Config config, long nowUs) {
            try {
                Path folder = config.commandFolder().orElseThrow(() -> new IOException("there is no folder for it"));
                CommitTableFile file = CommitTableFile.open(folder);
                SharedCommitTable table = new SharedCommitTable(file, newIncarnation(), nowUs);
                file.replacementReason().ifPresent(SharedFile::warn);
                boolean peersKnown = file.replacementReason().isEmpty();
                return new PeerProcessCommits(table, peersKnown ? table : SharedCommitTable.UNKNOWN_PEERS);
            } catch (IOException | UnsupportedOperationException e) { // The latter: a file system without links.
                warn(e.toString());
                return new PeerProcessCommits(WriteObserver.NONE, SharedCommitTable.UNKNOWN_PEERS);
            }
        }

        /** Any number but 0 will do, if no other process has it. */
        private static long newIncarnation() {
            return new SplittableRandom().nextLong() | 1;
        }

        private static void warn(String reason) {
            LOG.warning("commits of peer processes unknown: " + reason);
        }
    }
}
