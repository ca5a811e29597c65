package frostreel.lab.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Starts, stops, kills and pauses the poolers of a fleet, and measures how long a restart takes until clients
 * are served again. Used on the event loop's thread alone.
 */
final class PoolerLifecycle {
    private final RunContext run;
    private final List<PoolerNode> poolers;
    private final LoadGenerator load;
    private long slowestRestartUs;

    PoolerLifecycle(RunContext run, List<PoolerNode> poolers, LoadGenerator load) {
        this.run = run;
        this.poolers = poolers;
        this.load = load;
    }

    /** Starts all poolers; the result completes once they serve clients. */
    CompletableFuture<Void> startAll() {
        List<CompletableFuture<Void>> ready = new ArrayList<>();
        for (PoolerNode pooler : poolers) {
            CompletableFuture<Void> serving = new CompletableFuture<>();
            ready.add(serving);
            pooler.start();
            load.awaitReady(pooler.number(), () -> {
                pooler.ready();
                serving.complete(null);
            });
        }
        return CompletableFuture.allOf(ready.toArray(CompletableFuture[]::new));
    }

    /** SIGKILL, and a restart after {@code downUs}; {@code onReady} runs once the new process serves clients. */
    void kill(int number, long downUs, Runnable onReady) {
        PoolerNode pooler = poolers.get(number);
        if (!pooler.expectedAlive()) {
            return; // It is already down.
        }
        run.log().add(pooler.name() + " is killed");
        noteGone(pooler);
        pooler.expectEnd();
        pooler.cacheEndpoints();
        pooler.process.kill();
        run.scheduler().after(downUs, () -> restart(pooler, onReady));
    }

    /** SIGTERM, and a restart {@code downUs} after the process has ended. */
    void stop(int number, long downUs, Runnable onReady) {
        PoolerNode pooler = poolers.get(number);
        if (!pooler.expectedAlive()) {
            return;
        }
        run.log().add(pooler.name() + " is told to stop");
        pooler.expectEnd();
        pooler.process.terminate(() -> run.loop().thread().execute(() -> {
            run.log().add(pooler.name() + " has ended");
            pooler.cacheEndpoints();
            noteGone(pooler);
            run.scheduler().after(downUs, () -> restart(pooler, onReady));
        }));
    }

    /** Tells the invariants that requests which reach its machine from now on need no answer. */
    private void noteGone(PoolerNode pooler) {
        run.invariants().poolerKilled(run.scheduler().now(), pooler.number());
        run.invariants().poolerPaused(run.scheduler().now(), pooler.number(), true);
    }

    private void restart(PoolerNode pooler, Runnable onReady) {
        if (run.schedule().ending()) {
            return;
        }
        run.log().add(pooler.name() + " starts again");
        pooler.start();
        load.awaitReady(pooler.number(), () -> {
            run.log().add(pooler.name() + " is in");
            slowestRestartUs = slowestRestartUs();
            pooler.ready();
            onReady.run();
        });
    }

    /** How long the slowest restart took until clients were served, or has taken by now. */
    long slowestRestartUs() {
        return poolers.stream().mapToLong(PoolerNode::startingForUs).reduce(slowestRestartUs, Math::max);
    }

    /** SIGSTOP or SIGCONT; a paused pooler does not owe the answers that come due meanwhile. */
    void pause(int number, boolean paused) {
        PoolerNode pooler = poolers.get(number);
        if (!pooler.process.alive()) {
            return;
        }
        run.log().add(pooler.name() + (paused ? " is paused" : " goes on"));
        try {
            pooler.process.signal(paused ? "STOP" : "CONT");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        run.invariants().poolerPaused(run.scheduler().now(), number, paused);
    }

    /** Names of the processes that ended without being ended on purpose. */
    List<String> crashed() {
        return poolers.stream()
                .filter(pooler -> pooler.expectedAlive() && !pooler.process.alive())
                .map(PoolerNode::name)
                .toList();
    }
}
