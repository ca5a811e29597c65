package frostreel.control;

import frostreel.config.Config;
import frostreel.operation.CommitLog;
import frostreel.operation.SharedCommitTable;
import frostreel.routing.Router;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.logging.Logger;

/**
 * What this process tells of its writes to those that serve beside it as the same pooler, and what it knows
 * of theirs: by a file that all of them map, where there may be others and settings have sessions' commits
 * remembered. Where that file is of no use, the others' writes bind as soon as they count as known.
 */
public record PeerProcessCommits(CommitLog writes, Router.PeerCommits elsewhere) {
    private static final Logger LOG = Logger.getLogger(PeerProcessCommits.class.getName());

    /** Opens the file, if there is to be one; blocks for that, so before the loop has anything to do. */
    public static PeerProcessCommits of(Config config, long nowUs) {
        if (!config.inheritsListener() || config.settings().sessionTracking() != Router.SessionTracking.REMEMBERED) {
            return new PeerProcessCommits(CommitLog.NONE, (now, session) -> 0);
        }
        return Joined.of(config, nowUs);
    }

    /** Apart, so that a process which has none beside it loads nothing of all this. */
    private static final class Joined {
        static PeerProcessCommits of(Config config, long nowUs) {
            try {
                if (config.commandFolder() == null) {
                    throw new IOException("there is no folder for it");
                }
                CommitTableFile file = CommitTableFile.open(config.commandFolder());
                if (file.replaced() != null) {
                    warn(file.replaced());
                }
                SharedCommitTable board = new SharedCommitTable(file, new SplittableRandom().nextLong() | 1, nowUs);
                return new PeerProcessCommits(board, file.replaced() == null ? board : SharedCommitTable.BLIND);
            } catch (IOException | UnsupportedOperationException e) { // Such a file system has no links.
                warn(e.toString());
                return new PeerProcessCommits(CommitLog.NONE, SharedCommitTable.BLIND);
            }
        }

        private static void warn(String why) {
            LOG.warning("commits of other processes are not known: " + why);
        }
    }
}
