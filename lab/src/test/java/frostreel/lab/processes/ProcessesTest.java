package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the built program between stand-ins, and faults between them. */
class ProcessesTest {
    private static final Path PROGRAM =
            Path.of("../pooler/target/frostreel.jar").toAbsolutePath();
    private static final long SEED = 7;

    @TempDir
    Path dir;

    /** A run's verdict; the rules' time limits are eased by far more than any machine adds. */
    private boolean play(String poolers, String faults, String checks, StringWriter out) throws Exception {
        Path file = Files.writeString(dir.resolve("play.xml"), """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="5">
                <fleet poolers="%s" groups="2" listLagS="0"/><clients perSecond="60"/>
                <faults>%s</faults>
                <checks><rules slackMs="20000"/>%s</checks></processes>""".formatted(poolers, faults, checks));
        return new ProcessExperimentRunner(new PrintWriter(out), false)
                .run(ProcessExperiment.read(file), SEED, PROGRAM, dir.resolve("out"));
    }

    @AfterEach
    void everyProcessHasEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    @Test
    void aFleetKeepsTheRulesThoughPoolersDieStopPauseAndServersGo() throws Exception {
        StringWriter out = new StringWriter();
        boolean good = play("4", """
                <kill pooler="0" atS="0.5" awayS="0"/>
                <stop pooler="1" atS="0.5" awayS="0"/>
                <pause pooler="2" atS="1" untilS="2.5"/>
                <drainServer server="1" atS="1.2" untilS="4.9"/>
                <crashServer server="3" atS="1.5" untilS="2"/>
                <cut pooler="3" to="servers" way="in" atS="2.5" untilS="3.5"/>
                <cut pooler="3" to="discovery" atS="2.5" untilS="3.5"/>
                <reset pooler="3" to="clients" atS="4"/>
                <slow pooler="2" to="servers" bytesPerS="20000" atS="3" untilS="4"/>
                <delay pooler="2" to="clients" ms="20" atS="3" untilS="4"/>""", "<faultsInLogs atMost=\"0\"/>", out);
        assertThat(good).as(out.toString()).isTrue();
        assertThat(out.toString()).endsWith("verdict: pass" + System.lineSeparator());
        JSONObject result = new JSONObject(Files.readString(dir.resolve("out/result.json")));
        assertThat(result.getLong("served")).isPositive();
        assertThat(result.getLong("asked")).isGreaterThan(result.getLong("unanswered"));
        List<String> story = Files.readAllLines(dir.resolve("out/story.txt"));
        assertThat(story)
                .anyMatch(l -> l.endsWith("p0 is killed"))
                .anyMatch(l -> l.endsWith("p2 goes on"))
                .anyMatch(l -> l.endsWith("p1 has ended"));
        assertThat(dir.resolve("out/p0-2.log")).exists(); // Its second life.
        assertThat(dir.resolve("out/worth.png")).isNotEmptyFile();
    }

    @Test
    void aCutThatLetsNothingThroughShowsInTheWorthAndFailsItsCheck() throws Exception {
        StringWriter out = new StringWriter();
        boolean good = play(
                "1",
                "<cut pooler=\"0\" to=\"servers\" atS=\"0\" untilS=\"4.9\"/>",
                "<worth fromS=\"1\" toS=\"4\" atLeast=\"0.5\"/>",
                out);
        assertThat(good).as(out.toString()).isFalse();
        assertThat(out.toString()).contains("pass: rules is 0.000").contains("fail: worth of seconds 1 to 4");
    }
}
