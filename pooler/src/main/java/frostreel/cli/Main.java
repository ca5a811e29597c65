package frostreel.cli;

import frostreel.log.Logging;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line; each command has its own class. */
@Command(
        name = "frostreel",
        description = "A connection pooler that routes requests to replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Serve.class, SimulatorAdapter.class, TrainArchive.class, Check.class})
public final class Main {
    /** The exit code for an invalid command line, configuration or settings file. */
    static final int EXIT_INVALID_INPUT = 2;

    /** The version in the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"frostreel " + (version == null ? "(not run from a jar)" : version)};
        }
    }

    private Main() {}

    /** Runs the command in {@code args}; {@code serve} returns while the pooler keeps running. */
    public static void main(String[] args) throws IOException {
        Logging.install();
        // The platform runs `serve` without options. Handling that without picocli saves 4 MB of the 32 MB that a
        // pooler may use.
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
