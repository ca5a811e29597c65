package frostreel.control;

import frostreel.config.Config;
import frostreel.operation.GuardedPeerCommits;
import frostreel.operation.SharedCommitTable;
import frostreel.operation.WriteObserver;
import frostreel.routing.PeerCommits;
import frostreel.routing.Router;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;

/**
 * Shares sessions' commits with the other processes of the same pooler through a memory-mapped file. Enabled only if
 * another process may serve concurrently and the settings track sessions by remembering their commits. If the file
 * cannot be used, the commits of the others are unknown, and each session read must see all commits whose responses
 * clients may already have. The same holds from when the file is no longer under its name, and, where there was none
 * beside an earlier process, until that must have ended.
 */
public final class PeerProcessCommits {
    private static final Logger LOG = Logger.getLogger(PeerProcessCommits.class.getName());

    private final WriteObserver writeObserver;
    private final PeerCommits peerCommits;
    /** Looks whether the file is still in place; null if there is none. */
    private final Runnable fileCheck;

    private PeerProcessCommits(WriteObserver writeObserver, PeerCommits peerCommits, Runnable fileCheck) {
        this.writeObserver = writeObserver;
        this.peerCommits = peerCommits;
        this.fileCheck = fileCheck;
    }

    /**
     * Opens the file if commits are shared. Blocks, so it must be called before the event loop starts.
     *
     * @param isFirstProcess whether no process of this pooler has run before, see {@link SharedClock#isFirstProcess}
     */
    public static PeerProcessCommits open(Config config, long nowUs, boolean isFirstProcess) {
        if (!config.inheritsListener() || config.settings().sessionTracking() != Router.SessionTracking.REMEMBERED) {
            return new PeerProcessCommits(WriteObserver.NONE, PeerCommits.NONE, null);
        }
        return SharedFile.open(config, nowUs, isFirstProcess);
    }

    /** Records the writes of this process for the others. */
    public WriteObserver writeObserver() {
        return writeObserver;
    }

    /** Returns the position that a read must see because of commits through other processes. */
    public PeerCommits peerCommits() {
        return peerCommits;
    }

    /**
     * To be called several times a second, on the I/O thread.
     *
     * @param blockingTasks executes tasks that block
     */
    public void onHeartbeat(long nowUs, Executor blockingTasks) {
        writeObserver.onHeartbeat(nowUs);
        if (fileCheck == null) {
            return;
        }
        try {
            blockingTasks.execute(fileCheck);
        } catch (RejectedExecutionException ended) {
            LOG.fine("no more tasks; the file of commits is no longer checked");
        }
    }

    /** A separate class, so that a process without peers does not load the classes that it uses. */
    static final class SharedFile {
        /** "frostre" in ASCII, then the version of the layout. */
        static final SharedTableFile.Format FORMAT =
                new SharedTableFile.Format("commits", 0x66726f7374726501L, SharedCommitTable.LONGS);

        private final FileIdentity identity;
        private final GuardedPeerCommits commits;
        private boolean isLost;

        private SharedFile(FileIdentity identity, GuardedPeerCommits commits) {
            this.identity = identity;
            this.commits = commits;
        }

        private static PeerProcessCommits open(Config config, long nowUs, boolean isFirstProcess) {
            try {
                Path folder = config.commandFolder().orElseThrow(() -> new IOException("no folder for shared files"));
                SharedTableFile file = SharedTableFile.open(folder, FORMAT);
                SharedCommitTable table = new SharedCommitTable(file, SharedTableFile.newIncarnation(), nowUs);
                boolean mayHaveStrangers = file.origin() == SharedTableFile.Origin.CREATED && !isFirstProcess;
                long strangersUntilUs = mayHaveStrangers ? nowUs + SharedTableFile.STRANGERS_SERVE_US : 0;
                GuardedPeerCommits commits = new GuardedPeerCommits(table, strangersUntilUs);
                if (file.origin() == SharedTableFile.Origin.REPLACED) {
                    warn(folder.resolve(FORMAT.fileName()) + " was corrupt or of another version; replaced");
                    commits.cutOff();
                }
                FileIdentity identity = FileIdentity.of(folder.resolve(FORMAT.fileName()));
                return new PeerProcessCommits(table, commits, new SharedFile(identity, commits)::check);
            } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
                warn(e.toString());
                return new PeerProcessCommits(WriteObserver.NONE, SharedCommitTable.UNKNOWN_PEER_COMMITS, null);
            }
        }

        private void check() {
            if (!isLost && !identity.isCurrent()) {
                isLost = true;
                commits.cutOff();
                warn(identity.path() + " was removed or replaced");
            }
        }

        private static void warn(String reason) {
            LOG.warning("commits of peer processes unknown: " + reason);
        }
    }
}
