package frostreel.lab.processes;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Makes system calls of the poolers' processes fail. */
final class SystemFaultInjector {
    private final RunContext run;
    private final List<PoolerNode> poolers;

    SystemFaultInjector(RunContext run, List<PoolerNode> poolers) {
        this.run = run;
        this.poolers = poolers;
    }

    /** Has the processes load the library from their next start on; on the event loop's thread. */
    void preload(Path library) throws IOException {
        for (PoolerNode pooler : poolers) {
            Path table = run.folder().resolve(pooler.name() + ".faults");
            pooler.process.injectFaults(new SystemFaults(library, table));
        }
    }

    /** Has a pooler's system calls fail; see {@link SystemFaults#strike}. */
    void strike(int pooler, SystemFaults.Call call, SystemFaults.Errno error, long forUs, long times, long spanUs) {
        run.log()
                .add("p" + pooler + ": " + call + " meets " + error + " for " + forUs / 1000 + " ms"
                        + (times == SystemFaults.ALWAYS ? "" : ", " + times + " times"));
        poolers.get(pooler).process.faults().strike(call, error, forUs, times, spanUs);
    }
}
