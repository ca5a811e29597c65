package frostreel.lab.cli;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.experiment.Experiment;
import frostreel.lab.processes.ProcessExperiment;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class MainTest {
    private static final String SMALL = """
            <experiment xmlns="urn:frostreel:experiment:1" name="small" durationS="20">
              <fleet zones="2" groups="2" cores="2" poolersPerZone="1"/>
              <clients load="0.4"/>
              <policies><plain name="plain"/><tiers name="tiers" next="1" rest="1"/></policies>
              <faults><loseZone zone="1" atS="8"/><returnZone zone="1" atS="12"/></faults>
              <checks>
                <rules/><worth policy="tiers" atLeast="0.5"/><fallen policy="plain" atMost="0"/>
              </checks>
            </experiment>
            """;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final CommandLine commandLine =
            Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));

    @TempDir
    Path folder;

    private String file(String text) throws Exception {
        return Files.writeString(folder.resolve("e.xml"), text).toString();
    }

    @Test
    void keepsResultsThatAreByteForByteEqualForEqualSeeds() throws Exception {
        Path first = folder.resolve("a");
        Path second = folder.resolve("b");
        assertThat(commandLine.execute("run", file(SMALL), "--seeds", "2", "--out", first.toString()))
                .isZero();
        assertThat(out.toString()).contains("pass: worth of tiers is").endsWith("verdict: pass\n");
        assertThat(commandLine.execute("run", file(SMALL), "--seeds", "2", "--out", second.toString()))
                .isZero();
        for (String kept : List.of("result.json", "table.md", "table.csv", "seconds.csv")) {
            assertThat(first.resolve(kept)).hasSameBinaryContentAs(second.resolve(kept));
        }
        assertThat(first.resolve("worth.png")).isNotEmptyFile();
        assertThat(first.resolve("spilt.png")).isNotEmptyFile();
        assertThat(commandLine.execute("compare", first.toString(), second.toString()))
                .isZero();
        assertThat(out.toString()).contains("| " + second + " | tiers |");
        assertThat(commandLine.execute("compare", folder.resolve("none").toString()))
                .isEqualTo(2);
    }

    @Test
    void failsTheRunWhereACheckDoesNotHold() throws Exception {
        assertThat(commandLine.execute("run", file(SMALL.replace("atLeast=\"0.5\"", "atLeast=\"1\""))))
                .isEqualTo(1);
        assertThat(out.toString()).contains("fail: worth of tiers is").endsWith("verdict: fail\n");
    }

    @Test
    void reportsFaultsByLineAndKeyAndPlaysNothing() throws Exception {
        String faulty = SMALL.replace("load=\"0.4\"", "load=\"0\"").replace("poolersPerZone=\"1\"", "");
        assertThat(commandLine.execute("run", file(faulty))).isEqualTo(2);
        assertThat(err.toString())
                .contains("e.xml:2:", "experiment/fleet@poolersPerZone", "e.xml:3:", "experiment/clients@load");
        String senseless = SMALL.replace("zone=\"1\" atS=\"8\"", "zone=\"2\" atS=\"20\"")
                .replace("policy=\"plain\"", "policy=\"none\"")
                .replace("name=\"tiers\"", "name=\"plain\"");
        assertThat(commandLine.execute("run", file(senseless))).isEqualTo(2);
        assertThat(err.toString())
                .contains(
                        "there is no zone 2",
                        "the run is over then",
                        "there is no policy 'none'",
                        "stands there twice");
        assertThat(out.toString()).isEmpty();
        assertThat(commandLine.execute("run", file(SMALL), "--seeds", "0")).isEqualTo(2);
    }

    @Test
    void reportsAllFaultsOfAProcessExperimentAndExitsWithTwo() throws Exception {
        String faulty = """
                <processes xmlns="urn:frostreel:processes:1" name="p" durationS="5">
                <fleet poolers="2" groups="1"/><clients perSecond="9"/>
                <faults><kill pooler="2" atS="9"/><pause pooler="0" atS="2" untilS="2"/>
                <crashServer server="3" atS="1" untilS="2"/></faults>
                <checks><worth fromS="3" toS="6" atLeast="1"/></checks></processes>""";
        String program = Files.createFile(folder.resolve("a.jar")).toString();
        assertThat(commandLine.execute("processes", "--program", program, file(faulty)))
                .isEqualTo(2);
        assertThat(err.toString())
                .contains(
                        "there is no pooler 2",
                        "the run is over then",
                        "is not after atS",
                        "there is no server 3",
                        "is not after fromS");
        assertThat(commandLine.execute("processes", "--program", program, file(faulty.replace("kill", "cut"))))
                .isEqualTo(2);
        assertThat(err.toString()).contains("processes/faults/cut");
        assertThat(commandLine.execute("processes", "--program", "none.jar", file(faulty)))
                .isEqualTo(2);
        assertThat(err.toString()).contains("there is no none.jar");
    }

    @Test
    void readsTheShippedExperiments() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("../experiments"))) {
            List<Path> all = files.toList();
            assertThat(all).hasSizeGreaterThan(3);
            for (Path each : all) {
                assertThat(
                                each.getFileName().toString().startsWith("processes-")
                                        ? ProcessExperiment.read(each)
                                        : Experiment.read(each))
                        .isNotNull();
            }
        }
    }
}
