package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import frostreel.lab.model.ServerParameters;
import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONObject;

/** A deployment as JSON: {@code settings} as the platform hands them over, a {@code fleet}, and events. */
record RandomScenario(JSONObject json) {
    private static final double US = 1e6;
    /** A draining server has ended by then. */
    private static final long DRAIN_US = 3_100_000;
    /** The least time for which what was ended stays away. */
    private static final long AWAY_US = 200_000;

    private static final long STALL_INTERVAL_US = 1_500_000;

    /** Plays it; the seed is the draw's own. */
    Simulation play() throws MalformedMessageException {
        return play(ChainRouter::new);
    }

    /** Plays it with other routers. */
    Simulation play(BiFunction<Router.Settings, Router.Actions, Router> routers) throws MalformedMessageException {
        JSONObject fleet = json.getJSONObject("fleet");
        Simulation simulation = new Simulation(plan(fleet), routers);
        simulation.skewDemand(fleet.getDouble("uneven"));
        for (Object e : json.getJSONArray("events")) {
            schedule(simulation, (JSONObject) e);
        }
        return simulation.run();
    }

    Router.Settings settings() throws MalformedMessageException {
        return SettingsReader.read(
                0, new MessageFields(json.getJSONObject("settings").toMap()));
    }

    private SimulationPlan plan(JSONObject fleet) throws MalformedMessageException {
        Router.Settings site = settings();
        Router.Rules rules = site.rules();
        double shares = 0;
        JSONArray kinds = fleet.getJSONArray("kinds");
        for (int i = 0; i < kinds.length(); i++) {
            shares += kinds.getJSONObject(i).getDouble("share");
        }
        List<SimulationPlan.RequestKind> all = new ArrayList<>();
        double meanUs = 0;
        for (int i = 0; i < kinds.length(); i++) {
            double workUs = kinds.getJSONObject(i).getDouble("workMs") * 1e3;
            meanUs += workUs * kinds.getJSONObject(i).getDouble("share") / shares;
            all.add(new SimulationPlan.RequestKind(
                    site.classes().get(i),
                    kinds.getJSONObject(i).getDouble("share") / shares,
                    0.7 * workUs,
                    1.3 * workUs));
        }
        boolean commitsWait =
                json.getJSONObject("settings").getJSONObject("familyInfo").optBoolean("commitWaits", true);
        ServerParameters physics = new ServerParameters(
                rules.coldFrom(),
                rules.warmAfterUs(),
                rules.fallMultiple(),
                rules.fallUs(),
                us(fleet, "logDelayS"),
                fleet.getDouble("replay"),
                fleet.getInt("queue"),
                2 / 3.0,
                fleet.optBoolean("chance") ? meanUs : 0,
                fleet.getBoolean("cancels"),
                commitsWait);
        Set<String> reports = new HashSet<>();
        json.getJSONObject("settings")
                .getJSONObject("stats")
                .getJSONArray("names")
                .forEach(name -> reports.add((String) name));
        return new SimulationPlan(
                json.getLong("seed"),
                fleet.getInt("zones"),
                fleet.getInt("poolersPerZone"),
                fleet.getInt("groups"),
                fleet.getInt("cores"),
                fleet.getDouble("load"),
                us(fleet, "listLagS"),
                us(fleet, "durationS"),
                fleet.getBoolean("retries"),
                new Site(all, site, physics, reports, fleet.getInt("members"), fleet.getInt("sessions")));
    }

    private static long us(JSONObject json, String key) {
        return Math.round(json.getDouble(key) * US);
    }

    /** The first so many of a list, from a place on, so that events meet different ones. */
    private static <T> List<T> part(List<T> all, JSONObject event) {
        int count = Math.max(1, (int) Math.floor(event.getDouble("part") * all.size()));
        List<T> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            some.add(all.get((event.getInt("from") + i) % all.size()));
        }
        return some;
    }

    private void schedule(Simulation simulation, JSONObject event) {
        long atUs = us(event, "atS");
        long lengthUs = us(event, "lenS");
        double size = event.getDouble("size");
        Cluster cluster = simulation.cluster();
        List<Server> servers = part(List.copyOf(cluster.all()), event);
        switch (event.getString("kind")) {
            case "roll" -> roll(simulation, event, atUs, lengthUs, size);
            case "restart" ->
                servers.forEach(server -> {
                    simulation.at(atUs, () -> cluster.crash(server));
                    simulation.at(atUs + lengthUs / 4 + AWAY_US, () -> start(cluster, server));
                });
            case "drain" -> {
                simulation.at(atUs, () -> cluster.drain(servers.get(0)));
                simulation.at(atUs + DRAIN_US + lengthUs / 4, () -> start(cluster, servers.get(0)));
            }
            case "lose" ->
                servers.forEach(server -> {
                    simulation.at(atUs, () -> cluster.vanish(server));
                    simulation.at(atUs + AWAY_US + lengthUs, () -> start(cluster, server));
                });
            case "losePrimary" -> losePrimary(simulation, event, atUs, lengthUs);
            default -> degrade(simulation, event, servers);
        }
    }

    /** Restarts some poolers one after the other. */
    private void roll(Simulation simulation, JSONObject event, long atUs, long lengthUs, double size) {
        JSONObject fleet = json.getJSONObject("fleet");
        int count = fleet.getInt("zones") * fleet.getInt("poolersPerZone");
        int restarted = Math.max(1, (int) Math.floor(event.getDouble("part") * count));
        for (int i = 0; i < restarted; i++) {
            int number = (event.getInt("from") + i) % count;
            simulation.at(
                    atUs + lengthUs * i / restarted, () -> simulation.restart(number, AWAY_US + (long) (size * US)));
        }
    }

    private void losePrimary(Simulation simulation, JSONObject event, long atUs, long lengthUs) {
        Cluster cluster = simulation.cluster();
        int group = event.getInt("from") % json.getJSONObject("fleet").getInt("groups");
        simulation.at(
                atUs,
                () -> cluster.all().stream()
                        .filter(Server::primary)
                        .skip(group)
                        .findFirst()
                        .ifPresent(server -> {
                            cluster.vanish(server);
                            simulation.at(atUs + AWAY_US + lengthUs, () -> start(cluster, server));
                        }));
    }

    /** Servers that run on, though worse. */
    private void degrade(Simulation simulation, JSONObject event, List<Server> servers) {
        long atUs = us(event, "atS");
        long lengthUs = us(event, "lenS");
        double size = event.getDouble("size");
        double usualReplay = json.getJSONObject("fleet").getDouble("replay");
        switch (event.getString("kind")) {
            case "lag" ->
                during(simulation, atUs, lengthUs, servers, s -> s.replayRate(size), s -> s.replayRate(usualReplay));
            case "errors" ->
                during(simulation, atUs, lengthUs, servers, s -> s.faults().failRequests(size), s -> s.faults().failRequests(0));
            case "losses" ->
                during(simulation, atUs, lengthUs, servers, s -> s.faults().loseAnswers(size), s -> s.faults().loseAnswers(0));
            case "slow" -> during(simulation, atUs, lengthUs, servers, s -> s.faults().slowDown(1 + size), s -> s.faults().slowDown(1));
            case "stalls" -> {
                long stallUs = (long) (100_000 + 300_000 * size);
                for (long t = atUs; t < atUs + lengthUs; t += STALL_INTERVAL_US) {
                    simulation.at(t, () -> servers.forEach(server -> server.faults().stall(stallUs)));
                }
            }
            default -> throw new IllegalArgumentException("no such event: " + event);
        }
    }

    private static void start(Cluster cluster, Server server) {
        if (!server.up()) {
            cluster.start(server);
        }
    }

    private static void during(
            Simulation simulation,
            long at,
            long len,
            List<Server> servers,
            Consumer<Server> from,
            Consumer<Server> to) {
        simulation.at(at, () -> servers.forEach(from));
        simulation.at(at + len, () -> servers.forEach(to));
    }

    @Override
    public String toString() {
        return json.toString();
    }
}
