package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.settings.InvalidFileException;
import frostreel.settings.ValidationError;
import frostreel.settings.XmlElement;
import frostreel.settings.XmlFile;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An experiment with processes, read from a file that conforms to its schema and makes sense. */
public final class ProcessExperiment {
    /** The least time that the operators' file allows, beside 0. */
    private static final long MIN_SILENT_MS = 500;

    private static final long MAX_SILENT_MS = 60_000;
    private static final URL SCHEMA = ProcessExperiment.class.getResource("processes.xsd");
    private final String name;
    private final long seed;
    private final int durationS;
    private final XmlElement fleetSettings;
    private final XmlElement clientSettings;
    private final List<ProcessFault> faults;
    private final List<ProcessCheck> checks;
    private final long slackUs;

    private ProcessExperiment(String file, XmlElement root, List<ValidationError> errors) {
        name = root.text("name");
        seed = root.integer("seed");
        durationS = (int) root.integer("durationS");
        fleetSettings = root.child("fleet");
        clientSettings = root.child("clients");
        if (silentAfterMs() > 0 && (silentAfterMs() < MIN_SILENT_MS || silentAfterMs() > MAX_SILENT_MS)) {
            errors.add(
                    fleetSettings.error(file, "silentAfterMs", "is 0, or " + MIN_SILENT_MS + " to " + MAX_SILENT_MS));
        }
        faults = new ProcessFaultReader(file, this, errors)
                .read(root.child("faults").children());
        XmlElement checkList = root.child("checks");
        checks = checkList.children().stream()
                .map(check -> ProcessCheck.read(check, file, durationS, errors))
                .toList();
        slackUs = checkList
                .children("rules")
                .mapToLong(check -> check.microsFromMillis("slackMs"))
                .reduce(0, (first, last) -> last);
    }

    /** Reads a file; all that is wrong with it is in the exception. */
    public static ProcessExperiment read(Path file) throws InvalidFileException {
        List<ValidationError> errors = new ArrayList<>();
        ProcessExperiment read = new ProcessExperiment(file.toString(), XmlFile.read(file, SCHEMA), errors);
        if (!errors.isEmpty()) {
            throw new InvalidFileException(errors);
        }
        return read;
    }

    /** The experiment's name, as results state it. */
    public String name() {
        return name;
    }

    /** The seed to use where the command line states none. */
    public long seed() {
        return seed;
    }

    int poolers() {
        return (int) fleetSettings.integer("poolers");
    }

    int servers() {
        return (int) (fleetSettings.integer("zones") * fleetSettings.integer("groups"));
    }

    /** After how long poolers consider a silent peer absent; 0 where they have no peers. */
    long silentAfterMs() {
        return fleetSettings.integer("silentAfterMs");
    }

    /** Whether poolers have admin endpoints and listening sockets that outlive their processes. */
    boolean operated() {
        return fleetSettings.isTrue("operated");
    }

    /** Whether any fault makes system calls fail, for which the poolers have to preload a library. */
    boolean failsSystemCalls() {
        return faults.stream().anyMatch(ProcessFault::failsSystemCalls);
    }

    int durationS() {
        return durationS;
    }

    /** By how much the time limits of the rules are eased for what the machine adds. */
    long slackUs() {
        return slackUs;
    }

    /** The faults, in the file's order. */
    List<ProcessFault> faults() {
        return faults;
    }

    List<ProcessCheck> checks() {
        return checks;
    }

    /** The plan for a seed: load in requests a second, and poolers spread evenly over the zones. */
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
