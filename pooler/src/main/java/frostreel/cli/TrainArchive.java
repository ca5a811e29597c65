package frostreel.cli;

import frostreel.config.ConfigException;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The command {@code train-archive}: the training run with which the build creates the JVM's class archive. */
@Command(
        name = "train-archive",
        description = "Serves a few requests against itself and exits, so that the JVM can archive the loaded classes.",
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
