package frostreel.cli;

import frostreel.settings.InvalidFileException;
import frostreel.settings.OperatorSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code check}: validates operators' settings files before a pooler uses them. */
@Command(
        name = "check",
        description = "Reports the errors in settings files; exits with code 2 if there are any.",
        mixinStandardHelpOptions = true)
final class Check implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Operators' settings, see deploy/frostreel.xml.")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        int exitCode = 0;
        for (Path file : files) {
            try {
                OperatorSettings.read(file);
                spec.commandLine().getOut().println(file + ": good");
            } catch (InvalidFileException e) {
                spec.commandLine().getErr().println(e.getMessage());
                exitCode = Main.EXIT_INVALID_INPUT;
            }
        }
        return exitCode;
    }
}
