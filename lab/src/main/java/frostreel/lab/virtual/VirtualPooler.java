package frostreel.lab.virtual;

import frostreel.broker.Broker;
import frostreel.lab.model.Scheduler;
import frostreel.lab.rules.RunListener;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import frostreel.stats.Counters;
import frostreel.time.Deadlines;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * One incarnation of a pooler: the program's own broker and decisions in virtual time, with the model's servers
 * and links in place of sockets.
 */
final class VirtualPooler {
    private static final int MAX_OPEN_REQUESTS = 1 << 16;

    final int number;
    final int zone;
    final Counters counters = new Counters();

    private final Scheduler scheduler;
    private final RunListener runListener;
    private final VirtualBackEnd backEnd;
    private final Broker broker;
    /** The number of alarms set so far; only the newest one is valid. */
    private long alarms;

    VirtualPooler(
            int number,
            int zone,
            int zones,
            Environment environment,
            Set<String> reportFields,
            Router.Settings settings,
            BiFunction<Router.Settings, Router.Actions, Router> routers) {
        this.number = number;
        this.zone = zone;
        scheduler = environment.scheduler();
        runListener = environment.listener();
        backEnd = new VirtualBackEnd(number, zone, zones, environment, reportFields, settings);
        broker = new Broker(scheduler::now, deadlines(), counters, backEnd, settings, MAX_OPEN_REQUESTS, routers);
    }

    /** Deadlines that run on the scheduler while this process lives. */
    private Deadlines deadlines() {
        Deadlines[] deadlines = new Deadlines[1];
        deadlines[0] = new Deadlines(scheduler::now, us -> {
            long alarm = ++alarms;
            scheduler.after(us, () -> {
                if (alarm == alarms) {
                    deadlines[0].runDue();
                }
            });
        });
        return deadlines[0];
    }

    void submit(RequestAttributes attributes, SimulatedPayload payload, ResponseHandler handler) {
        broker.submit(attributes, payload, handler);
    }

    /** Takes an update of the endpoint list. */
    void updateEndpoints(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(member -> {
            runListener.endpointUpdated(scheduler.now(), number, member.id(), member.state());
            backEnd.updateEndpoint(member);
        });
        broker.updateMembers(kind, members);
    }

    /** The number of attempts begun at servers of a zone. */
    long attemptsTo(int serverZone) {
        return backEnd.attemptsTo(serverZone);
    }

    /**
     * The position of a session's last commit through this pooler, 0 for none. A read of the session requires
     * data up to there, even where the commit was lost with its primary, since nobody is notified of the loss: a
     * replica may serve it only from beyond that position. The new primary may serve it at once, whatever
     * position it reports, since no server has newer data; a former primary may not, once it has answered as a
     * replica.
     */
    long lastCommitUs(long session) {
        return backEnd.lastCommitUs(session);
    }

    /** Kills the process: its connections end, and no timer of it fires any more. */
    void kill() {
        alarms++; // Invalidates every alarm.
        backEnd.endAll();
        runListener.poolerKilled(scheduler.now(), number);
    }
}
