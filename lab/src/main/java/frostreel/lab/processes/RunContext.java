package frostreel.lab.processes;

import frostreel.lab.model.Scheduler;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.net.EventLoop;
import frostreel.routing.Router.RequestClass;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The objects that all parts of one run with processes share. Used on the event loop's thread alone.
 *
 * @param operated whether poolers have admin endpoints and listening sockets that outlive their processes
 * @param folder takes configurations and logs
 * @param classes the request classes by name
 */
record RunContext(
        SimulationPlan plan,
        boolean operated,
        Path folder,
        EventLoop loop,
        Scheduler scheduler,
        SplittableRandom random,
        InvariantChecker invariants,
        Map<String, RequestClass> classes,
        RunSchedule schedule,
        RunLog log) {}
