package frostreel.cli;

import frostreel.config.ConfigException;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Goes through serving once, for the class archive that the build makes. */
@Command(
        name = "rehearse",
        description = "Goes through serving once, against itself, and ends.",
        mixinStandardHelpOptions = true)
final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws IOException, InterruptedException {
        try {
            Rehearsal.run();
            return 0;
        } catch (ConfigException e) {
            System.err.println("frostreel: the rehearsal failed: " + e);
            return 1;
        }
    }
}
