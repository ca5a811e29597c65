package frostreel.cli;

import frostreel.log.Logging;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line: one class a command. Exit code 2 says that the call or what it names is faulty. */
@Command(
        name = "frostreel",
        description = "A pooler that routes over replicated databases.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Serve.class, SimulatorHost.class, TrainArchive.class, Check.class})
public final class Main {
    /** The version that the jar was built as. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"frostreel " + (version == null ? "(not from a jar)" : version)};
        }
    }

    private Main() {}

    public static void main(String[] args) throws IOException {
        Logging.install();
        // The platform's own call goes past the library: it costs 4 MB, and a pooler may have 32.
        int code = args.length == 1 && args[0].equals("serve")
                ? new Serve().call()
                : commandLine().execute(args);
        if (code != Serve.GOES_ON) {
            System.exit(code);
        }
    }

    static CommandLine commandLine() {
        return new CommandLine(new Main());
    }
}
