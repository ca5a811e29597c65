package frostreel.lab.cli;

import frostreel.settings.InvalidFileException;
import picocli.CommandLine;
import picocli.CommandLine.ParseResult;

/** The exit codes of all commands. */
final class ExitCodes {
    static final int PASSED = 0;
    static final int FAILED = 1;
    static final int FAULTY_INPUT = 2;

    private ExitCodes() {}

    /** Prints what is wrong with a faulty file; any other exception is a fault of the lab and rethrown. */
    static int handle(Exception thrown, CommandLine command, ParseResult parsed) throws Exception {
        if (thrown instanceof InvalidFileException) {
            command.getErr().println(thrown.getMessage());
            return FAULTY_INPUT;
        }
        throw thrown;
    }
}
