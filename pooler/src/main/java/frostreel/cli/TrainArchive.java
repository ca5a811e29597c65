package frostreel.cli;

import frostreel.config.ConfigException;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The command {@code train-archive}: loads the classes that serving needs, for the build's class archive. */
@Command(
        name = "train-archive",
        description = "Goes through serving once, against itself, and ends.",
        mixinStandardHelpOptions = true)
final class TrainArchive implements Callable<Integer> {
    private static final int EXIT_FAILED = 1;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try {
            ClassArchiveTraining.run();
            return 0;
        } catch (ConfigException e) {
            System.err.println("frostreel: training the class archive failed: " + e);
            return EXIT_FAILED;
        }
    }
}
