package frostreel.lab.processes;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Upgrades poolers one by one: a successor starts beside the old process, which gets SIGTERM as soon as the
 * successor serves clients. Used on the event loop's thread alone.
 */
final class ProcessUpgrades {
    private static final long STATUS_INTERVAL_US = 50_000;
    /** When SIGKILL follows SIGTERM: after the longest deadline, taken as 3 s at most, and 0.7 s. */
    private static final long KILL_AFTER_US = 3_700_000;

    private static final String READY = "OK";

    private final RunContext run;
    private final List<PoolerNode> poolers;
    private long completed;
    private long killed;

    ProcessUpgrades(RunContext run, List<PoolerNode> poolers) {
        this.run = run;
        this.poolers = poolers;
    }

    /** Starts a successor; does nothing if the pooler is down or has one already. */
    void upgrade(int number) {
        PoolerNode pooler = poolers.get(number);
        if (startSuccessor(pooler)) {
            awaitReady(pooler);
        }
    }

    /** Starts a successor and kills it {@code killAfterUs} later; the old process serves on. */
    void upgradeAborted(int number, long killAfterUs) {
        PoolerNode pooler = poolers.get(number);
        if (startSuccessor(pooler)) {
            run.scheduler().after(killAfterUs, () -> {
                run.log().add(pooler.name() + ": the successor is killed");
                pooler.process.killSuccessor();
                pooler.upgrading(false);
            });
        }
    }

    private boolean startSuccessor(PoolerNode pooler) {
        if (!pooler.expectedAlive() || pooler.upgrading()) {
            return false;
        }
        pooler.upgrading(true);
        run.log().add(pooler.name() + " gets a successor");
        pooler.startSuccessor();
        return true;
    }

    private void awaitReady(PoolerNode pooler) {
        AdminCall.make(run.loop(), pooler.process.adminAddress(), "STATUS", answer -> {
            if (run.schedule().ending()) {
                return;
            }
            if (answer.equals(READY)) {
                run.log().add(pooler.name() + ": the successor takes clients");
                completed++;
                retireOldProcess(pooler);
            } else {
                run.scheduler().after(STATUS_INTERVAL_US, () -> awaitReady(pooler));
            }
        });
    }

    private void retireOldProcess(PoolerNode pooler) {
        AtomicBoolean ended = new AtomicBoolean();
        pooler.process.terminateOld(() -> run.loop().thread().execute(() -> {
            run.log().add(pooler.name() + ": the old process has ended");
            ended.set(true);
            pooler.upgrading(false);
        }));
        run.scheduler().after(KILL_AFTER_US, () -> {
            if (!ended.get() && !run.schedule().ending()) {
                run.log().add(pooler.name() + ": the old process is killed");
                killed++;
                pooler.process.killOld();
            }
        });
    }

    /** Upgrades whose successor came to serve clients. */
    long completed() {
        return completed;
    }

    /** Old processes that did not end by themselves and had to be killed. */
    long killed() {
        return killed;
    }
}
