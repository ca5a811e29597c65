package frostreel.cli;

import frostreel.settings.FaultyFileException;
import frostreel.settings.OperatorSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Says what is wrong in files, all of it at once, before anything runs by them. */
@Command(
        name = "check",
        description = "Says what is wrong in settings files; exit code 2 where anything is.",
        mixinStandardHelpOptions = true)
final class Check implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Operators' settings, as deploy/frostreel.xml.")
    private List<Path> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        int code = 0;
        for (Path file : files) {
            try {
                OperatorSettings.read(file);
                spec.commandLine().getOut().println(file + ": good");
            } catch (FaultyFileException e) {
                spec.commandLine().getErr().println(e.getMessage());
                code = 2;
            }
        }
        return code;
    }
}
