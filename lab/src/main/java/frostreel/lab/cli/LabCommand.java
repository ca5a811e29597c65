package frostreel.lab.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that plays something whose checks hold or do not. */
abstract class LabCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Plays it, and returns whether every check holds. */
    abstract boolean play() throws Exception;

    @Override
    public final Integer call() throws Exception {
        return play() ? ExitCodes.PASSED : ExitCodes.FAILED;
    }

    /** Where the command prints. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** A fault of the command line itself. */
    final ParameterException usageError(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}
