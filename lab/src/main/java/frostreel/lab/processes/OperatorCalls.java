package frostreel.lab.processes;

import java.util.List;

/** Sends operators' commands to the admin endpoints of a fleet. Used on the event loop's thread alone. */
final class OperatorCalls {
    /** In place of a server's number, for commands that name none. */
    static final int NO_SERVER = -1;

    private static final String SUSPEND = "SUSPEND";
    private static final String RESTORE = "RESTORE";
    private static final String ACCEPTED = "OK";

    private final RunContext run;
    private final List<PoolerNode> poolers;
    private final StandInServers servers;
    private long rejected;

    OperatorCalls(RunContext run, List<PoolerNode> poolers, StandInServers servers) {
        this.run = run;
        this.poolers = poolers;
        this.servers = servers;
    }

    /** Sends a command to a pooler's newest process; {@code server} may be {@link #NO_SERVER}. */
    void call(int number, String command, int server) {
        PoolerNode pooler = poolers.get(number);
        String serverId = server == NO_SERVER ? null : servers.server(server).id;
        String line = serverId == null ? command : command + " " + serverId;
        if (command.equals(RESTORE)) {
            // The pooler may use the server before its answer arrives.
            run.invariants().serverSuspended(run.scheduler().now(), number, serverId, false);
        }
        AdminCall.make(run.loop(), pooler.process.adminAddress(), line, answer -> {
            run.log().add(pooler.name() + ": " + line + ": " + answer);
            boolean accepted = answer.startsWith(ACCEPTED);
            rejected += accepted ? 0 : 1;
            if (command.equals(SUSPEND) && accepted) {
                run.invariants().serverSuspended(run.scheduler().now(), number, serverId, true);
            }
        });
    }

    /** How many commands were not answered OK. */
    long rejected() {
        return rejected;
    }
}
