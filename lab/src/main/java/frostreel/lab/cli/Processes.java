package frostreel.lab.cli;

import frostreel.lab.processes.ProcessExperiment;
import frostreel.lab.processes.ProcessExperimentRunner;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one experiment with processes of the program. */
@Command(
        name = "processes",
        mixinStandardHelpOptions = true,
        description = "Starts processes of the program"
                + " on loopback and puts faults between them; exit code 0 where all checks hold, 1 where one does"
                + " not, 2 where the file is faulty.")
final class Processes extends LabCommand {
    @Parameters(paramLabel = "FILE", description = "An experiment, as experiments/processes-restarts.xml.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "The seed; the file's where left out.")
    private Long seed;

    @Mixin
    private ProgramOption program;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Keeps result.json, the story, tables, the" + " chart and the poolers' logs there.")
    private Path folder;

    @Override
    @SuppressWarnings("SystemConsoleNull") // Built and run with Java 17, where null means no terminal.
    boolean play() throws Exception {
        Path jar = program.existing();
        ProcessExperiment experiment = ProcessExperiment.read(file);
        boolean live = System.console() != null;
        ProcessExperimentRunner runner = new ProcessExperimentRunner(out(), live);
        return runner.run(experiment, seed == null ? experiment.seed() : seed, jar, folder);
    }
}
