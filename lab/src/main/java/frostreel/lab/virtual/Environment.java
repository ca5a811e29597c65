package frostreel.lab.virtual;

import frostreel.lab.model.Links;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.RunListener;
import java.util.Map;

/**
 * What surrounds each pooler of a simulation.
 *
 * @param servers all servers by id
 * @param listener notified of the events of the run
 */
record Environment(Scheduler scheduler, Links links, Map<String, Server> servers, RunListener listener) {}
