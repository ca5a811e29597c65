package frostreel.control;

import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.operation.RecentRequestIds;
import frostreel.operation.WriteObserver;
import frostreel.routing.PeerCommits;
import frostreel.routing.PeerRoles;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.Logger;

/**
 * What this process shares with the other processes of the same pooler: commits, members' roles, ids of writes and the
 * clock. Confined to the I/O thread once it is opened.
 */
public final class PeerProcesses {
    private static final Logger LOG = Logger.getLogger(PeerProcesses.class.getName());

    private final EventLoop loop;
    private final PeerProcessCommits commits;
    private final PeerProcessRoles roles;
    private final PeerProcessRequestIds requestIds;
    /** Null if no other process can serve concurrently. */
    private final Path sharedFolder;

    private PeerProcesses(
            EventLoop loop,
            PeerProcessCommits commits,
            PeerProcessRoles roles,
            PeerProcessRequestIds requestIds,
            Path sharedFolder) {
        this.loop = loop;
        this.commits = commits;
        this.roles = roles;
        this.requestIds = requestIds;
        this.sharedFolder = sharedFolder;
    }

    /**
     * Opens the shared files. Blocks, so it must be called before the event loop starts.
     *
     * @param isFirstProcess whether no process of this pooler has run before, see {@link SharedClock#isFirstProcess}
     */
    public static PeerProcesses open(Config config, EventLoop loop, boolean isFirstProcess) {
        return new PeerProcesses(
                loop,
                PeerProcessCommits.open(config, loop.clock().now(), isFirstProcess),
                PeerProcessRoles.open(config, loop, isFirstProcess),
                PeerProcessRequestIds.open(config, loop),
                config.inheritsListener() ? config.commandFolder().orElse(null) : null);
    }

    /** To be called with the current time several times a second. */
    public void onHeartbeat(long nowUs) {
        commits.onHeartbeat(nowUs, loop.worker());
        roles.onHeartbeat(nowUs);
        requestIds.onHeartbeat(nowUs);
        if (sharedFolder != null) {
            try {
                loop.worker().execute(this::restoreClock);
            } catch (RejectedExecutionException workerEnded) {
                LOG.fine("the worker has ended; the file of the clock is no longer checked");
            }
        }
    }

    /** Runs on the task thread. */
    private void restoreClock() {
        try {
            SharedClock.restore(sharedFolder, loop.clock());
        } catch (IOException | UnsupportedOperationException e) { // The latter without hard links.
            LOG.fine("the clock cannot be stored again: " + e);
        }
    }

    /** Records the writes of this process for the others. */
    public WriteObserver writeObserver() {
        return commits.writeObserver();
    }

    /** Returns the position that a read must see because of commits through other processes. */
    public PeerCommits commits() {
        return commits.peerCommits();
    }

    /** The roles for the router of this process. */
    public PeerRoles roles() {
        return roles.peerRoles();
    }

    /** The ids of requests that must not run again. */
    public RecentRequestIds recentIds() {
        return requestIds.recentIds();
    }
}
