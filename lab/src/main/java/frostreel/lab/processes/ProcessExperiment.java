package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.settings.Fault;
import frostreel.settings.FaultyFileException;
import frostreel.settings.XmlElement;
import frostreel.settings.XmlFile;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An experiment with processes, read against its schema and checked for sense. */
public final class ProcessExperiment {
    /** A bound on what a run showed; seconds are read for worth alone. */
    record Check(String kind, int fromS, int toS, double bound) {}

    /** The range that the operators' file allows. */
    private static final long MIN_SILENT_MS = 500;

    private static final long MAX_SILENT_MS = 60_000;
    private static final URL SCHEMA = ProcessExperiment.class.getResource("processes.xsd");
    private final String file;
    private final String name;
    private final long seed;
    private final int durationS;
    private final XmlElement fleetSettings;
    private final XmlElement clientSettings;
    private final List<ProcessFault> faults;
    private final List<Check> checks = new ArrayList<>();
    private long slackUs;

    private ProcessExperiment(String file, XmlElement root, List<Fault> errors) {
        this.file = file;
        name = root.text("name");
        seed = root.integer("seed");
        durationS = (int) root.integer("durationS");
        fleetSettings = root.child("fleet");
        clientSettings = root.child("clients");
        if (silentAfterMs() > 0 && (silentAfterMs() < MIN_SILENT_MS || silentAfterMs() > MAX_SILENT_MS)) {
            errors.add(
                    fleetSettings.fault(file, "silentAfterMs", "is 0, or " + MIN_SILENT_MS + " to " + MAX_SILENT_MS));
        }
        faults = new ProcessFaultReader(file, this, errors)
                .read(root.child("faults").children());
        root.child("checks").children().forEach(check -> readCheck(check, errors));
    }

    /** Reads a file that anyone may have written. */
    public static ProcessExperiment read(Path file) throws FaultyFileException {
        List<Fault> errors = new ArrayList<>();
        ProcessExperiment read = new ProcessExperiment(file.toString(), XmlFile.read(file, SCHEMA), errors);
        if (!errors.isEmpty()) {
            throw new FaultyFileException(errors);
        }
        return read;
    }

    private void readCheck(XmlElement element, List<Fault> errors) {
        switch (element.name()) {
            case "rules" -> {
                slackUs = element.microsFromMillis("slackMs");
                checks.add(new Check("rules", 0, 0, 0));
            }
            case "worth" -> {
                int from = (int) element.integer("fromS");
                int to = (int) element.integer("toS");
                if (to <= from || to > durationS) {
                    errors.add(element.fault(file, "toS", "is not after fromS and within the run"));
                }
                checks.add(new Check("worth", from, to, element.decimal("atLeast")));
            }
            case "upgrades" -> checks.add(new Check("upgrades", 0, 0, element.decimal("atLeast")));
            default -> checks.add(new Check(element.name(), 0, 0, element.decimal("atMost")));
        }
    }

    public String name() {
        return name;
    }

    /** The seed, where the call names none. */
    public long seed() {
        return seed;
    }

    int poolers() {
        return (int) fleetSettings.integer("poolers");
    }

    int servers() {
        return (int) (fleetSettings.integer("zones") * fleetSettings.integer("groups"));
    }

    /** After how long poolers count a silent peer as absent; 0 where they have no peers. */
    long silentAfterMs() {
        return fleetSettings.integer("silentAfterMs");
    }

    /** Whether operators call, and each pooler has a listening socket that outlives it. */
    boolean operated() {
        return fleetSettings.isTrue("operated");
    }

    /** Whether system calls are to fail, so that the poolers need the library for that. */
    boolean failsSystemCalls() {
        return faults.stream().anyMatch(ProcessFault::failsSystemCalls);
    }

    int durationS() {
        return durationS;
    }

    long slackUs() {
        return slackUs;
    }

    /** The faults, in the file's order. */
    List<ProcessFault> faults() {
        return faults;
    }

    List<Check> checks() {
        return checks;
    }

    /** Its load is in requests a second; poolers are spread evenly over the zones. */
    SimulationPlan plan(long withSeed) {
        int zones = (int) fleetSettings.integer("zones");
        return new SimulationPlan(
                withSeed,
                zones,
                (poolers() + zones - 1) / zones,
                (int) fleetSettings.integer("groups"),
                (int) fleetSettings.integer("cores"),
                clientSettings.decimal("perSecond"),
                fleetSettings.microsFromSeconds("listLagS"),
                durationS * 1_000_000L,
                clientSettings.isTrue("retry"));
    }
}
