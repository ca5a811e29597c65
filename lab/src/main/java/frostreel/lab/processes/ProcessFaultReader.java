package frostreel.lab.processes;

import frostreel.settings.ValidationError;
import frostreel.settings.XmlElement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Reads the faults of an experiment with processes, and checks whether each makes sense in it. */
final class ProcessFaultReader {
    /** What reads a fault, by the name of its XML element; the schema allows these and no others. */
    private static final Map<String, Function<FaultElement, ProcessFault>> READERS = Map.ofEntries(
            Map.entry("kill", PoolerFault.Kill::read),
            Map.entry("stop", PoolerFault.Stop::read),
            Map.entry("pause", PoolerFault.Pause::read),
            Map.entry("upgrade", PoolerFault::readUpgrade),
            Map.entry("call", PoolerFault.OperatorCommand::read),
            Map.entry("system", PoolerFault.FailingSystemCalls::read),
            Map.entry("cut", NetworkFault.Cut::read),
            Map.entry("delay", NetworkFault.Delay::read),
            Map.entry("slow", NetworkFault.Slow::read),
            Map.entry("reset", NetworkFault.Reset::read),
            Map.entry("cutPeers", PeerFault.Cut::read),
            Map.entry("delayPeers", PeerFault.Delay::read),
            Map.entry("slowPeers", PeerFault.Slow::read),
            Map.entry("crashServer", ServerFault.Crash::read),
            Map.entry("loseServer", ServerFault.Loss::read),
            Map.entry("drainServer", ServerFault.Drain::read),
            Map.entry("random", RandomFaults::read));

    private final String file;
    private final ProcessExperiment experiment;
    private final List<ValidationError> errors;

    /** {@code errors} takes what is wrong with the file. */
    ProcessFaultReader(String file, ProcessExperiment experiment, List<ValidationError> errors) {
        this.file = file;
        this.experiment = experiment;
        this.errors = errors;
    }

    /** Reads all faults, in the file's order. */
    List<ProcessFault> read(List<XmlElement> elements) {
        List<ProcessFault> faults = new ArrayList<>();
        for (XmlElement xml : elements) {
            FaultElement element = new FaultElement(xml, file, experiment, errors);
            faults.add(READERS.get(xml.name()).apply(element));
        }
        return List.copyOf(faults);
    }
}
