package frostreel.lab.cli;

import frostreel.log.Logging;
import java.util.logging.Level;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The lab's command line. */
@Command(
        name = "frostreel-lab",
        description = "Plays experiments with whole fleets.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Run.class, Processes.class, Faults.class, Compare.class})
public final class Main {
    private Main() {}

    /** Runs one command, and exits with its exit code. */
    public static void main(String[] args) {
        Logging.install(); // Before any library asks for a logger.
        Logging.configure(Logging.Format.TEXT, Level.WARNING);
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler(ExitCodes::handle);
    }
}
