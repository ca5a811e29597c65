package frostreel.lab.processes;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * One experiment that a test has played with processes of the built program.
 *
 * @param output what the runner printed
 * @param folder the results and the poolers' logs
 */
record ExperimentPlay(boolean passed, String output, Path folder) {
    static final Path PROGRAM = Path.of("../pooler/target/frostreel.jar").toAbsolutePath();

    /** Plays an experiment, given as XML, below a test's folder. */
    static ExperimentPlay play(Path dir, long seed, String xml) throws Exception {
        Path file = Files.writeString(dir.resolve("play.xml"), xml);
        Path folder = dir.resolve("out");
        StringWriter output = new StringWriter();
        boolean passed = new ProcessExperimentRunner(new PrintWriter(output), false)
                .run(ProcessExperiment.read(file), seed, PROGRAM, folder);
        return new ExperimentPlay(passed, output.toString(), folder);
    }

    /** The log of one incarnation, as "p0-2". */
    String log(String incarnation) throws IOException {
        return Files.readString(folder.resolve(incarnation + ".log"));
    }

    /** The run's events, in the order of their times. */
    String events() throws IOException {
        return Files.readString(folder.resolve("story.txt"));
    }
}
