package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the built program between stand-ins, and faults between them. */
class ProcessesTest {
    private static final long SEED = 7;

    @TempDir
    Path dir;

    /** Plays faults; the rules' time limits are eased by far more than any machine adds. */
    private ExperimentPlay play(String poolers, String faults, String checks) throws Exception {
        return ExperimentPlay.play(dir, SEED, """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="5">
                <fleet poolers="%s" groups="2" listLagS="0"/><clients perSecond="60"/>
                <faults>%s</faults>
                <checks><rules slackMs="20000"/>%s</checks></processes>""".formatted(poolers, faults, checks));
    }

    @AfterEach
    void allProcessesHaveEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    @Test
    void keepsTheRulesWhilePoolersAndServersFailAndLinksAreCut() throws Exception {
        ExperimentPlay play = play("4", """
                <kill pooler="0" atS="0.5" awayS="0"/>
                <stop pooler="1" atS="0.5" awayS="0"/>
                <pause pooler="2" atS="1" untilS="2.5"/>
                <drainServer server="1" atS="1.2" untilS="4.9"/>
                <crashServer server="3" atS="1.5" untilS="2"/>
                <cut pooler="3" to="servers" way="in" atS="2.5" untilS="3.5"/>
                <cut pooler="3" to="discovery" atS="2.5" untilS="3.5"/>
                <reset pooler="3" to="clients" atS="4"/>
                <slow pooler="2" to="servers" bytesPerS="20000" atS="3" untilS="4"/>
                <delay pooler="2" to="clients" ms="20" atS="3" untilS="4"/>""", "<faultsInLogs atMost=\"0\"/>");
        assertThat(play.passed()).as(play.output()).isTrue();
        assertThat(play.output()).endsWith("verdict: pass" + System.lineSeparator());
        JSONObject result = new JSONObject(Files.readString(play.folder().resolve("result.json")));
        assertThat(result.getLong("served")).isPositive();
        assertThat(result.getLong("asked")).isGreaterThan(result.getLong("unanswered"));
        assertThat(play.events().lines())
                .anyMatch(event -> event.endsWith("p0 is killed"))
                .anyMatch(event -> event.endsWith("p2 goes on"))
                .anyMatch(event -> event.endsWith("p1 has ended"));
        assertThat(play.folder().resolve("p0-2.log")).exists(); // Of the second incarnation.
        assertThat(play.folder().resolve("worth.png")).isNotEmptyFile();
    }

    @Test
    void failsTheCheckOfServedWeightWhileAllServersAreCutOff() throws Exception {
        ExperimentPlay play = play(
                "1",
                "<cut pooler=\"0\" to=\"servers\" atS=\"0\" untilS=\"4.9\"/>",
                "<worth fromS=\"1\" toS=\"4\" atLeast=\"0.5\"/>");
        assertThat(play.passed()).as(play.output()).isFalse();
        assertThat(play.output()).contains("pass: rules is 0.000").contains("fail: worth of seconds 1 to 4");
    }
}
