package frostreel.lab.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The option that names the built program, for commands that start processes of it. */
final class ProgramOption {
    @Option(
            names = "--program",
            paramLabel = "JAR",
            defaultValue = "pooler/target/frostreel.jar",
            description = "The built program; ${DEFAULT-VALUE} where left out.")
    private Path program;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    /** The program's absolute path; a usage error where no such file exists. */
    Path existing() {
        if (!Files.isRegularFile(program)) {
            throw new ParameterException(command.commandLine(), "--program: there is no " + program);
        }
        return program.toAbsolutePath();
    }
}
