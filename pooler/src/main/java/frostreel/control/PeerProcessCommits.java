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
 * The exchange of sessions' commits with the other processes of the same pooler, through a file that all of them
 * map. It takes place only if a second process may serve beside this one and the settings track sessions by
 * remembering their commits. If the file cannot be used, reads are bound to every commit of the others that may
 * count as known.
 *
 * @param writeObserver records the writes of this process, for the others
 * @param peerCommits answers what the others have committed
 */
public record PeerProcessCommits(WriteObserver writeObserver, PeerCommits peerCommits) {
    private static final Logger LOG = Logger.getLogger(PeerProcessCommits.class.getName());

    /** Opens the file if one is needed. Blocks, so call it before the event loop has work to do. */
    public static PeerProcessCommits open(Config config, long nowUs) {
        if (!config.inheritsListener() || config.settings().sessionTracking() != Router.SessionTracking.REMEMBERED) {
            return new PeerProcessCommits(WriteObserver.NONE, PeerCommits.NONE);
        }
        return SharedFile.open(config, nowUs);
    }

    /** A class of its own, so that a process without peers does not load what it uses. */
    private static final class SharedFile {
        static PeerProcessCommits open(Config config, long nowUs) {
            try {
                Path folder = config.commandFolder().orElseThrow(() -> new IOException("there is no folder for it"));
                CommitTableFile file = CommitTableFile.open(folder);
                SharedCommitTable table = new SharedCommitTable(file, newIncarnation(), nowUs);
                file.replacementReason().ifPresent(SharedFile::warn);
                boolean peersKnown = file.replacementReason().isEmpty();
                return new PeerProcessCommits(table, peersKnown ? table : SharedCommitTable.UNKNOWN_PEER_COMMITS);
            } catch (IOException | UnsupportedOperationException e) { // The latter on a file system without links.
                warn(e.toString());
                return new PeerProcessCommits(WriteObserver.NONE, SharedCommitTable.UNKNOWN_PEER_COMMITS);
            }
        }

        /** A random number, so that no other process has it, and odd, so that it is not 0. */
        private static long newIncarnation() {
            return new SplittableRandom().nextLong() | 1;
        }

        private static void warn(String reason) {
            LOG.warning("commits of peer processes unknown: " + reason);
        }
    }
}
