package frostreel.lab.virtual;

import static frostreel.lab.virtual.RandomScenario.micros;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.json.JSONObject;

/**
 * Schedules the events of a {@link RandomScenario}. Each has a {@code kind}, a time ({@code atS}), a length
 * ({@code lenS}), a {@code size} from 0 to 1, and as targets a {@code part} of all servers or poolers, counted
 * {@code from} one of them on.
 */
final class ScenarioFaults {
    /** A draining server has ended by then. */
    private static final long DRAIN_US = 3_100_000;
    /** The least time for which a server or pooler stays away. */
    private static final long MIN_AWAY_US = 200_000;

    private static final long STALL_INTERVAL_US = 1_500_000;

    private final Simulation simulation;
    private final Cluster cluster;
    private final JSONObject fleet;

    ScenarioFaults(Simulation simulation, JSONObject fleet) {
        this.simulation = simulation;
        this.fleet = fleet;
        cluster = simulation.cluster();
    }

    void schedule(JSONObject event) {
        long atUs = micros(event, "atS");
        long lengthUs = micros(event, "lenS");
        double size = event.getDouble("size");
        List<Server> servers = targets(event);
        switch (event.getString("kind")) {
            case "roll" -> restartPoolers(event, atUs, lengthUs, size);
            case "restart" -> servers.forEach(server -> restart(server, atUs, lengthUs / 4));
            case "drain" -> drain(servers.get(0), atUs, lengthUs / 4);
            case "lose" -> servers.forEach(server -> lose(server, atUs, lengthUs));
            case "losePrimary" -> losePrimary(event.getInt("from"), atUs, lengthUs);
            case "stalls" -> stall(servers, atUs, lengthUs, size);
            default -> degrade(event.getString("kind"), servers, atUs, lengthUs, size);
        }
    }

    private List<Server> targets(JSONObject event) {
        List<Server> all = List.copyOf(cluster.all());
        int count = Math.max(1, (int) Math.floor(event.getDouble("part") * all.size()));
        List<Server> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(all.get((event.getInt("from") + i) % all.size()));
        }
        return targets;
    }

    /** Restarts a part of the poolers, one after the other. */
    private void restartPoolers(JSONObject event, long atUs, long lengthUs, double size) {
        int count = fleet.getInt("zones") * fleet.getInt("poolersPerZone");
        int restarted = Math.max(1, (int) Math.floor(event.getDouble("part") * count));
        long downUs = MIN_AWAY_US + (long) (size * 1e6);
        for (int i = 0; i < restarted; i++) {
            int number = (event.getInt("from") + i) % count;
            simulation.at(atUs + lengthUs * i / restarted, () -> simulation.restart(number, downUs));
        }
    }

    private void restart(Server server, long atUs, long extraUs) {
        simulation.at(atUs, () -> cluster.crash(server));
        simulation.at(atUs + extraUs + MIN_AWAY_US, () -> start(server));
    }

    private void drain(Server server, long atUs, long extraUs) {
        simulation.at(atUs, () -> cluster.drain(server));
        simulation.at(atUs + DRAIN_US + extraUs, () -> start(server));
    }

    private void lose(Server server, long atUs, long extraUs) {
        simulation.at(atUs, () -> cluster.vanish(server));
        simulation.at(atUs + MIN_AWAY_US + extraUs, () -> start(server));
    }

    private void losePrimary(int from, long atUs, long extraUs) {
        int group = from % fleet.getInt("groups");
        simulation.at(
                atUs,
                () -> cluster.all().stream()
                        .filter(Server::primary)
                        .skip(group)
                        .findFirst()
                        .ifPresent(server -> {
                            cluster.vanish(server);
                            simulation.at(atUs + MIN_AWAY_US + extraUs, () -> start(server));
                        }));
    }

    private void start(Server server) {
        if (!server.up()) {
            cluster.start(server);
        }
    }

    private void stall(List<Server> servers, long atUs, long lengthUs, double size) {
        long stallUs = (long) (100_000 + 300_000 * size);
        for (long nextUs = atUs; nextUs < atUs + lengthUs; nextUs += STALL_INTERVAL_US) {
            simulation.at(
                    nextUs, () -> servers.forEach(server -> server.faults().stall(stallUs)));
        }
    }

    /** Servers that run on, but worse. */
    private void degrade(String kind, List<Server> servers, long atUs, long lengthUs, double size) {
        Consumer<Server> begin = degradation(kind, size);
        Consumer<Server> end = recovery(kind);
        simulation.at(atUs, () -> servers.forEach(begin));
        simulation.at(atUs + lengthUs, () -> servers.forEach(end));
    }

    private static Consumer<Server> degradation(String kind, double size) {
        return switch (kind) {
            case "lag" -> server -> server.replayRate(size);
            case "errors" -> server -> server.faults().failRequests(size);
            case "losses" -> server -> server.faults().loseAnswers(size);
            case "slow" -> server -> server.faults().slowDown(1 + size);
            default -> throw new IllegalArgumentException("unknown kind of event: " + kind);
        };
    }

    private Consumer<Server> recovery(String kind) {
        return switch (kind) {
            case "lag" -> server -> server.replayRate(fleet.getDouble("replay"));
            case "errors" -> server -> server.faults().failRequests(0);
            case "losses" -> server -> server.faults().loseAnswers(0);
            default -> server -> server.faults().slowDown(1);
        };
    }
}
