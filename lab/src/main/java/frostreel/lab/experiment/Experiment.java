package frostreel.lab.experiment;

import frostreel.lab.report.Threshold;
import frostreel.lab.virtual.Policy;
import frostreel.lab.virtual.RunStatistics;
import frostreel.lab.virtual.Simulation;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.routing.Router;
import frostreel.settings.InvalidFileException;
import frostreel.settings.ValidationError;
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
    record Check(PolicyMetric metric, String policy, int zone, Threshold threshold) {}

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

    private Experiment(String file, XmlElement root, List<ValidationError> errors) {
        name = root.text("name");
        seed = root.integer("seed");
        durationS = (int) root.integer("durationS");
        fleet = root.child("fleet");
        clients = root.child("clients");
        for (XmlElement policy : root.child("policies").children()) {
            if (policies.putIfAbsent(policy.text("name"), policy) != null) {
                errors.add(policy.error(file, "name", "policy '" + policy.text("name") + "' stands there twice"));
            }
        }
        for (XmlElement fault : root.child("faults").children()) {
            readFault(file, fault, errors);
        }
        for (XmlElement check : root.child("checks").children()) {
            readCheck(file, check, errors);
        }
    }

    /** Reads a file that anyone may have written. */
    public static Experiment read(Path file) throws InvalidFileException {
        List<ValidationError> errors = new ArrayList<>();
        Experiment read = new Experiment(file.toString(), XmlFile.read(file, SCHEMA), errors);
        if (!errors.isEmpty()) {
            throw new InvalidFileException(errors);
        }
        return read;
    }

    private int zone(String file, XmlElement element, String attribute, List<ValidationError> errors) {
        long zone = element.integer(attribute);
        if (zone >= fleet.integer("zones")) {
            errors.add(element.error(file, attribute, "there is no zone " + zone + "; the first is 0"));
        }
        return (int) zone;
    }

    private void readFault(String file, XmlElement element, List<ValidationError> errors) {
        long atUs = element.microsFromSeconds("atS");
        if (element.decimal("atS") >= durationS) {
            errors.add(element.error(file, "atS", "the run is over then"));
        }
        if (element.name().equals("cut")) {
            readCut(file, element, atUs, errors);
        } else {
            readZoneFault(file, element, atUs, errors);
        }
    }

    private void readCut(String file, XmlElement element, long atUs, List<ValidationError> errors) {
        int from = zone(file, element, "from", errors);
        int to = zone(file, element, "to", errors);
        long untilUs = element.microsFromSeconds("untilS");
        if (untilUs <= atUs) {
            errors.add(element.error(file, "untilS", "is not after atS"));
        }
        faults.add(simulation -> {
            simulation.at(atUs, () -> simulation.cut(from, to, true));
            simulation.at(untilUs, () -> simulation.cut(from, to, false));
        });
    }

    private void readZoneFault(String file, XmlElement element, long atUs, List<ValidationError> errors) {
        int zone = zone(file, element, "zone", errors);
        if (element.name().equals("loseZone") && (firstLossS == NO_LOSS || element.decimal("atS") < firstLossS)) {
            firstLossS = (int) element.decimal("atS");
        }
        Consumer<Simulation> begin = zoneFault(element, zone);
        faults.add(simulation -> simulation.at(atUs, () -> begin.accept(simulation)));
    }

    private static Consumer<Simulation> zoneFault(XmlElement element, int zone) {
        return switch (element.name()) {
            case "loseZone" -> simulation -> simulation.loseZone(zone);
            case "returnZone" -> simulation -> simulation.returnZone(zone);
            case "slowZone" -> {
                double times = element.decimal("times");
                yield simulation -> simulation.slowZone(zone, times);
            }
            default -> {
                double rate = element.decimal("rate");
                yield simulation -> simulation.replayZone(zone, rate);
            }
        };
    }

    private void readCheck(String file, XmlElement element, List<ValidationError> errors) {
        PolicyMetric metric = PolicyMetric.of(element.name());
        if (metric == PolicyMetric.VIOLATIONS) {
            checks.add(new Check(metric, null, RunStatistics.ALL_ZONES, Threshold.atMost(0)));
            return;
        }
        if (!policies.containsKey(element.text("policy"))) {
            errors.add(element.error(file, "policy", "there is no policy '" + element.text("policy") + "'"));
        }
        checks.add(new Check(
                metric,
                element.text("policy"),
                element.has("zone") ? zone(file, element, "zone", errors) : RunStatistics.ALL_ZONES,
                Threshold.read(element)));
    }

    String name() {
        return name;
    }

    /** The first seed, where the command line states none. */
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

    /** A simulation of one policy with its faults scheduled, not yet run. */
    Simulation simulation(SimulationPlan plan, String policy) {
        XmlElement settings = policies.get(policy);
        BiFunction<Router.Settings, Router.Actions, Router> routers = switch (settings.name()) {
            case "plain" -> Policy.plain();
            case "allToNext" -> Policy.allToTheNext(plan);
            default -> Policy.tiers(plan, settings.decimal("next"), settings.decimal("rest"));
        };
        Simulation simulation = new Simulation(plan, routers);
        faults.forEach(fault -> fault.accept(simulation));
        return simulation;
    }
}
