package frostreel.lab.processes;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import frostreel.lab.standin.StandInDatabase;
import frostreel.routing.Router;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The model's servers behind PostgreSQL's protocol: a stand-in database for each, whose connections end together
 * with the server's process. Used on the event loop's thread alone.
 */
final class StandInServers {
    private final RunContext run;
    private final Cluster cluster;
    private final Consumer<Router.Member> changed;
    private final Map<String, StandInDatabase> databases = new LinkedHashMap<>();
    /** When each server's present process started, to distinguish a restart from other changes. */
    private final Map<String, Long> startTimesUs = new HashMap<>();

    /** {@code changed} takes each change to a server, as the endpoint list states it. */
    StandInServers(RunContext run, InetSocketAddress bind, Consumer<Router.Member> changed) throws IOException {
        this.run = run;
        this.changed = changed;
        cluster = new Cluster(
                run.scheduler(),
                run.random(),
                run.plan().zones(),
                run.plan().groups(),
                run.plan().cores(),
                this::serverChanged);
        StatementCosts costs = new StatementCosts(run.random(), run.classes());
        for (Server server : cluster.all()) {
            startTimesUs.put(server.id, 0L);
            databases.put(
                    server.id,
                    new StandInDatabase(
                            run.loop(), run.scheduler(), server, costs, () -> overloadedWhileCold(server), bind));
        }
    }

    Cluster cluster() {
        return cluster;
    }

    /** Each server's stand-in, by the server's id. */
    Map<String, StandInDatabase> databases() {
        return databases;
    }

    /** A server by its number, group by group and in each by zone. */
    Server server(int number) {
        return List.copyOf(cluster.all()).get(number);
    }

    private void overloadedWhileCold(Server server) {
        run.log().add("server " + server.id + " fell over");
        run.invariants().serverOverloaded(run.scheduler().now(), server.id);
        databases.get(server.id).resetConnections();
    }

    private void serverChanged(Server server) {
        boolean restarted = startTimesUs.put(server.id, server.startedUs()) != server.startedUs();
        if (restarted || (!server.up() && !server.vanished())) {
            databases.get(server.id).resetConnections();
        }
        Router.Member entry = Cluster.entry(server);
        run.log().add("server " + server.id + " is " + entry.state() + (entry.primary() ? ", primary" : ""));
        changed.accept(entry);
    }

    void close() {
        databases.values().forEach(StandInDatabase::close);
    }
}
