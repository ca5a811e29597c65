package frostreel.lab.processes;

import java.util.List;

/** A fault of one pooler's processes, or an operator's command to them. */
sealed interface PoolerFault extends TimedFault {
    /** SIGKILL, and a restart some time later. */
    record Kill(int pooler, long atUs, long downUs) implements PoolerFault {
        static Kill read(FaultElement element) {
            return new Kill(element.pooler(), element.atUs(), element.xml().microsFromSeconds("awayS"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.lifecycle().kill(pooler, downUs, () -> {});
        }
    }

    /** SIGTERM, and a restart some time after the process has ended. */
    record Stop(int pooler, long atUs, long downUs) implements PoolerFault {
        static Stop read(FaultElement element) {
            return new Stop(element.pooler(), element.atUs(), element.xml().microsFromSeconds("awayS"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.lifecycle().stop(pooler, downUs, () -> {});
        }
    }

    /** SIGSTOP until SIGCONT. */
    record Pause(int pooler, long atUs, long untilUs) implements PoolerFault {
        static Pause read(FaultElement element) {
            return new Pause(element.pooler(), element.atUs(), element.untilUs());
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.lifecycle().pause(pooler, true);
        }

        @Override
        public void end(Fleet fleet) {
            fleet.lifecycle().pause(pooler, false);
        }
    }

    /** A successor starts beside the running process, which ends once the successor serves clients. */
    record Upgrade(int pooler, long atUs) implements PoolerFault {
        @Override
        public void begin(Fleet fleet) {
            fleet.upgrades().upgrade(pooler);
        }
    }

    /** A successor starts and is killed some time later; the old process continues to serve. */
    record AbortedUpgrade(int pooler, long atUs, long killAfterUs) implements PoolerFault {
        @Override
        public void begin(Fleet fleet) {
            fleet.upgrades().upgradeAborted(pooler, killAfterUs);
        }
    }

    /** Reads either kind of upgrade: with {@code diesAfterMs}, the successor is killed. */
    static PoolerFault readUpgrade(FaultElement element) {
        int pooler = operatedPooler(element);
        return element.xml().has("diesAfterMs")
                ? new AbortedUpgrade(pooler, element.atUs(), element.xml().microsFromMillis("diesAfterMs"))
                : new Upgrade(pooler, element.atUs());
    }

    /** An operator's command to the newest process; {@code server} may be {@link OperatorCalls#NO_SERVER}. */
    record OperatorCommand(int pooler, long atUs, String command, int server) implements PoolerFault {
        /** Operators' commands that name a server. */
        private static final List<String> COMMANDS_ON_SERVERS = List.of("SUSPEND", "RESTORE");

        static OperatorCommand read(FaultElement element) {
            int pooler = operatedPooler(element);
            String command = element.xml().text("line");
            boolean namesServer = element.xml().has("on");
            int server = namesServer ? element.number("on", element.experiment().servers()) : OperatorCalls.NO_SERVER;
            if (namesServer != COMMANDS_ON_SERVERS.contains(command)) {
                element.reject("on", "is for SUSPEND and RESTORE, and for these alone");
            }
            return new OperatorCommand(pooler, element.atUs(), command, server);
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.operators().call(pooler, command, server);
        }
    }

    /** System calls of the pooler's processes fail or take long; see {@link SystemFaults#inject}. */
    record FailingSystemCalls(
            int pooler,
            long atUs,
            long durationUs,
            SystemFaults.Call call,
            SystemFaults.Errno error,
            long times,
            long spanUs)
            implements PoolerFault {
        static FailingSystemCalls read(FaultElement element) {
            int sign = element.xml().isTrue("back") ? -1 : 1;
            return new FailingSystemCalls(
                    element.pooler(),
                    element.atUs(),
                    element.untilUs() - element.atUs(),
                    SystemFaults.Call.valueOf(element.xml().text("call")),
                    SystemFaults.Errno.valueOf(element.xml().text("error")),
                    element.xml().has("times") ? element.xml().integer("times") : SystemFaults.EVERY_TIME,
                    sign * element.xml().microsFromMillis("spanMs"));
        }

        @Override
        public void begin(Fleet fleet) {
            fleet.systemFaults().inject(pooler, call, error, durationUs, times, spanUs);
        }

        @Override
        public boolean failsSystemCalls() {
            return true;
        }
    }

    private static int operatedPooler(FaultElement element) {
        int pooler = element.pooler();
        if (!element.experiment().operated()) {
            element.reject("the poolers of this fleet are not operated");
        }
        return pooler;
    }
}
