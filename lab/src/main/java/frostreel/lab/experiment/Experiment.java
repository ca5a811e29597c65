package frostreel.lab.experiment;

import frostreel.lab.virtual.Policy;
import frostreel.lab.virtual.Simulation;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.routing.Router;
import frostreel.settings.Fault;
import frostreel.settings.FaultyFileException;
import frostreel.settings.XmlElement;
import frostreel.settings.XmlFile;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/** An experiment file, read against its schema and checked for sense. */
public final class Experiment {
    /** A check of all zones together. */
    static final int ALL_ZONES = -1;

    /** A bound on what a policy showed; {@code zone} may be {@link #ALL_ZONES}, {@code policy} null for every one. */
    record Check(String kind, String policy, int zone, double bound) {}

    private static final URL SCHEMA = Experiment.class.getResource("experiment.xsd");
    private final String name;
    private final long seed;
    private final XmlElement fleet;
    private final XmlElement clients;
    private final int durationS;
    private int firstLossS = -1;
    private final Map<String, XmlElement> policies = new LinkedHashMap<>();
    private final List<Consumer<Simulation>> faults = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();

    private Experiment(String file, XmlElement root, List<Fault> wrong) {
        name = root.text("name");
        seed = root.whole("seed");
        durationS = (int) root.whole("durationS");
        fleet = root.child("fleet");
        clients = root.child("clients");
        for (XmlElement p : root.child("policies").children()) {
            if (policies.putIfAbsent(p.text("name"), p) != null) {
                wrong.add(p.fault(file, "name", "policy '" + p.text("name") + "' stands there twice"));
            }
        }
        for (XmlElement f : root.child("faults").children()) {
            fault(file, f, wrong);
        }
        for (XmlElement c : root.child("checks").children()) {
            check(file, c, wrong);
        }
    }

    /** Reads a file that anyone may have written. */
    public static Experiment read(Path file) throws FaultyFileException {
        List<Fault> wrong = new ArrayList<>();
        Experiment read = new Experiment(file.toString(), XmlFile.read(file, SCHEMA), wrong);
        if (!wrong.isEmpty()) {
            throw new FaultyFileException(wrong);
        }
        return read;
    }

    private int zone(String file, XmlElement e, String attribute, List<Fault> wrong) {
        long zone = e.whole(attribute);
        if (zone >= fleet.whole("zones")) {
            wrong.add(e.fault(file, attribute, "there is no zone " + zone + "; the first is 0"));
        }
        return (int) zone;
    }

    private void fault(String file, XmlElement e, List<Fault> wrong) {
        long atUs = e.seconds("atS");
        if (e.number("atS") >= durationS) {
            wrong.add(e.fault(file, "atS", "the run is over then"));
        }
        if (e.name().equals("cut")) {
            int from = zone(file, e, "from", wrong);
            int to = zone(file, e, "to", wrong);
            long untilUs = e.seconds("untilS");
            if (untilUs <= atUs) {
                wrong.add(e.fault(file, "untilS", "is not after atS"));
            }
            faults.add(world -> {
                world.at(atUs, () -> world.cut(from, to, true));
                world.at(untilUs, () -> world.cut(from, to, false));
            });
            return;
        }
        int zone = zone(file, e, "zone", wrong);
        if (e.name().equals("loseZone") && (firstLossS < 0 || e.number("atS") < firstLossS)) {
            firstLossS = (int) e.number("atS");
        }
        faults.add(
                switch (e.name()) {
                    case "loseZone" -> world -> world.at(atUs, () -> world.loseZone(zone));
                    case "returnZone" -> world -> world.at(atUs, () -> world.returnZone(zone));
                    case "slowZone" -> {
                        double times = e.number("times");
                        yield world -> world.at(atUs, () -> world.slowZone(zone, times));
                    }
                    default -> {
                        double rate = e.number("rate");
                        yield world -> world.at(atUs, () -> world.replayZone(zone, rate));
                    }
                });
    }

    private void check(String file, XmlElement e, List<Fault> wrong) {
        if (e.name().equals("rules")) {
            checks.add(new Check("rules", null, ALL_ZONES, 0));
            return;
        }
        if (!policies.containsKey(e.text("policy"))) {
            wrong.add(e.fault(file, "policy", "there is no policy '" + e.text("policy") + "'"));
        }
        checks.add(new Check(
                e.name(),
                e.text("policy"),
                e.has("zone") ? zone(file, e, "zone", wrong) : ALL_ZONES,
                e.number(e.has("atLeast") ? "atLeast" : "atMost")));
    }

    String name() {
        return name;
    }

    /** The first seed, where the call names none. */
    public long seed() {
        return seed;
    }

    /** The second of the first loss of a zone, -1 where none is lost. */
    int firstLossS() {
        return firstLossS;
    }

    List<String> policies() {
        return List.copyOf(policies.keySet());
    }

    List<Check> checks() {
        return checks;
    }

    SimulationPlan plan(long withSeed) {
        return new SimulationPlan(
                withSeed,
                (int) fleet.whole("zones"),
                (int) fleet.whole("poolersPerZone"),
                (int) fleet.whole("groups"),
                (int) fleet.whole("cores"),
                clients.number("load"),
                fleet.seconds("listLagS"),
                durationS * 1_000_000L,
                clients.flag("retry"));
    }

    /** A world of one policy with the faults set, not yet run. */
    Simulation world(SimulationPlan plan, String policy) {
        XmlElement p = policies.get(policy);
        BiFunction<Router.Settings, Router.Actions, Router> maker = switch (p.name()) {
            case "plain" -> Policy.plain();
            case "allToNext" -> Policy.allToTheNext(plan);
            default -> Policy.tiers(plan, p.number("next"), p.number("rest"));
        };
        Simulation world = new Simulation(plan, maker);
        faults.forEach(f -> f.accept(world));
        return world;
    }
}
