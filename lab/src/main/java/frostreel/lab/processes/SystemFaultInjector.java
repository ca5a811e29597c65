package frostreel.lab.processes;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Makes system calls of the poolers' processes fail. Used on the event loop's thread alone. */
final class SystemFaultInjector {
    private final RunContext run;
    private final List<PoolerNode> poolers;

    SystemFaultInjector(RunContext run, List<PoolerNode> poolers) {
        this.run = run;
        this.poolers = poolers;
    }

    /** Makes the processes preload the library from their next start on. */
    void preload(Path library) throws IOException {
        for (PoolerNode pooler : poolers) {
            Path table = run.folder().resolve(pooler.name() + ".faults");
            pooler.process.injectFaults(new SystemFaults(library, table));
        }
    }

    /** Makes system calls of a pooler fail; see {@link SystemFaults#inject}. */
    void inject(
            int pooler, SystemFaults.Call call, SystemFaults.Errno error, long durationUs, long times, long spanUs) {
        run.log()
                .add("p" + pooler + ": " + call + " meets " + error + " for " + durationUs / 1000 + " ms"
                        + (times == SystemFaults.EVERY_TIME ? "" : ", " + times + " times"));
        poolers.get(pooler).process.faults().inject(call, error, durationUs, times, spanUs);
    }
}
