package frostreel.lab.experiment;

import frostreel.lab.report.Threshold;
import frostreel.lab.virtual.Policy;
import frostreel.lab.virtual.RunStatistics;
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
    /** In place of the second in which a zone is lost: none is. */
    static final int NO_LOSS = -1;

    /**
     * A bound on what a policy shows.
     *
     * @param policy the policy's name; null for all policies
     * @param zone the zone's number, or {@link RunStatistics#ALL_ZONES}
     */
    record Check(Metric metric, String policy, int zone, Threshold threshold) {}

    private static final URL SCHEMA = Experiment.class.getResource("experiment.xsd");
    private final String name;
    private final long seed;
    private final XmlElement fleet;
    private final XmlElement clients;
    private final int durationS;
    private int firstLossS = NO_LOSS;
    private final Map<String, XmlElement> policies = new LinkedHashMap<>();
    private final List<Consumer<Simulation>> faults = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();

    private Experiment(String file, XmlElement root, List<Fault> wrong) {
        name = root.text("name");
        seed = root.integer("seed");
        durationS = (int) root.integer("durationS");
        fleet = root.child("fleet");
        clients = root.child("clients");
        for (XmlElement policy : root.child("policies").children()) {
            if (policies.putIfAbsent(policy.text("name"), policy) != null) {
                wrong.add(policy.fault(file, "name", "policy '" + policy.text("name") + "' stands there twice"));
            }
        }
        for (XmlElement fault : root.child("faults").children()) {
            fault(file, fault, wrong);
        }
        for (XmlElement check : root.child("checks").children()) {
            check(file, check, wrong);
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

    private int zone(String file, XmlElement element, String attribute, List<Fault> wrong) {
        long zone = element.integer(attribute);
        if (zone >= fleet.integer("zones")) {
            wrong.add(element.fault(file, attribute, "there is no zone " + zone + "; the first is 0"));
        }
        return (int) zone;
    }

    private void fault(String file, XmlElement element, List<Fault> wrong) {
        long atUs = element.microsFromSeconds("atS");
        if (element.decimal("atS") >= durationS) {
            wrong.add(element.fault(file, "atS", "the run is over then"));
        }
        if (element.name().equals("cut")) {
            int from = zone(file, element, "from", wrong);
            int to = zone(file, element, "to", wrong);
            long untilUs = element.microsFromSeconds("untilS");
            if (untilUs <= atUs) {
                wrong.add(element.fault(file, "untilS", "is not after atS"));
            }
            faults.add(simulation -> {
                simulation.at(atUs, () -> simulation.cut(from, to, true));
                simulation.at(untilUs, () -> simulation.cut(from, to, false));
            });
            return;
        }
        int zone = zone(file, element, "zone", wrong);
        if (element.name().equals("loseZone") && (firstLossS == NO_LOSS || element.decimal("atS") < firstLossS)) {
            firstLossS = (int) element.decimal("atS");
        }
        faults.add(
                switch (element.name()) {
                    case "loseZone" -> simulation -> simulation.at(atUs, () -> simulation.loseZone(zone));
                    case "returnZone" -> simulation -> simulation.at(atUs, () -> simulation.returnZone(zone));
                    case "slowZone" -> {
                        double times = element.decimal("times");
                        yield simulation -> simulation.at(atUs, () -> simulation.slowZone(zone, times));
                    }
                    default -> {
                        double rate = element.decimal("rate");
                        yield simulation -> simulation.at(atUs, () -> simulation.replayZone(zone, rate));
                    }
                });
    }

    private void check(String file, XmlElement element, List<Fault> wrong) {
        Metric metric = Metric.of(element.name());
        if (metric == Metric.VIOLATIONS) {
            checks.add(new Check(metric, null, RunStatistics.ALL_ZONES, Threshold.atMost(0)));
            return;
        }
        if (!policies.containsKey(element.text("policy"))) {
            wrong.add(element.fault(file, "policy", "there is no policy '" + element.text("policy") + "'"));
        }
        checks.add(new Check(
                metric,
                element.text("policy"),
                element.has("zone") ? zone(file, element, "zone", wrong) : RunStatistics.ALL_ZONES,
                Threshold.read(element)));
    }

    String name() {
        return name;
    }

    /** The first seed, where the call names none. */
    public long seed() {
        return seed;
    }

    /** The second of the first loss of a zone, or {@link #NO_LOSS}. */
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
                (int) fleet.integer("zones"),
                (int) fleet.integer("poolersPerZone"),
                (int) fleet.integer("groups"),
                (int) fleet.integer("cores"),
                clients.decimal("load"),
                fleet.microsFromSeconds("listLagS"),
                durationS * 1_000_000L,
                clients.isTrue("retry"));
    }

    /** A simulation of one policy with the faults set, not yet run. */
    Simulation simulation(SimulationPlan plan, String policy) {
        XmlElement settings = policies.get(policy);
        BiFunction<Router.Settings, Router.Actions, Router> routers = switch (settings.name()) {
            case "plain" -> Policy.plain();
            case "allToNext" -> Policy.allToTheNext(plan);
            default -> Policy.tiers(plan, settings.decimal("next"), settings.decimal("rest"));
        };
        Simulation simulation = new Simulation(plan, routers);
        faults.forEach(f -> f.accept(simulation));
        return simulation;
    }
}
