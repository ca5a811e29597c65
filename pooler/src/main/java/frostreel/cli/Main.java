package frostreel.cli;

import frostreel.log.Logging;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line; each command is a class of its own. */
@Command(
        name = "frostreel",
        description = "A pooler that routes over replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Serve.class, SimulatorAdapter.class, TrainArchive.class, Check.class})
public final class Main {
    /** The exit code for a faulty command line, configuration or settings file. */
    static final int EXIT_INVALID_INPUT = 2;

    /** The version in the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"frostreel " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private Main() {}

    /** Runs the command that {@code args} name; for {@code serve}, returns while the pooler runs. */
    public static void main(String[] args) throws IOException {
        Logging.install();
        // The platform's call bypasses the command line library, which costs 4 MB of the 32 that a pooler may have.
        int exitCode = args.length == 1 && args[0].equals("serve")
                ? new Serve().call()
                : commandLine().execute(args);
        if (exitCode != Serve.KEEP_RUNNING) {
            System.exit(exitCode);
        }
    }

    static CommandLine commandLine() {
        return new CommandLine(new Main());
    }
}
