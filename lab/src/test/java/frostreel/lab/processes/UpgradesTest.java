package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Upgrades and operators' commands to processes of the built program under load. */
class UpgradesTest {
    private static final long SEED = 7;
    /** These hold however slow the machine is. */
    private static final String CHECKS = """
            <rules slackMs="20000"/><faultsInLogs atMost="0"/>
            <killedOld atMost="0"/><refusedCalls atMost="0"/>""";

    private static final String ALL_ANSWERED = "<unanswered atMost=\"0\"/>";

    @TempDir
    Path dir;

    private ExperimentPlay play(int seconds, String poolers, String faults, String checks) throws Exception {
        ExperimentPlay play = ExperimentPlay.play(dir, SEED, """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="%d">
                <fleet poolers="%s" groups="2" listLagS="0" operated="true"/><clients perSecond="60"/>
                <faults>%s</faults>
                <checks>%s%s</checks></processes>""".formatted(seconds, poolers, faults, CHECKS, checks));
        assertThat(play.passed()).as("%s%n%s", play.output(), play.events()).isTrue();
        return play;
    }

    @AfterEach
    void allProcessesHaveEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    @Test
    void suspendedServerStaysSuspendedOverThreeUpgrades() throws Exception {
        ExperimentPlay play = play(14, "2", """
                <call pooler="0" atS="0.5" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.5" line="SUSPEND" on="1"/>
                <upgrade pooler="0" atS="1"/>
                <upgrade pooler="0" atS="5"/>
                <upgrade pooler="0" atS="9"/>
                <drainServer server="2" atS="5.2" untilS="8"/>
                <call pooler="0" atS="13" line="RESTORE" on="1"/>
                <call pooler="1" atS="13" line="RESTORE" on="1"/>
                """, ALL_ANSWERED + "<upgrades atLeast=\"3\"/><atTheDoor atMost=\"6\"/>");
        assertThat(play.events()).contains("p0: SUSPEND", "p0: RESTORE");
        assertThat(play.log("p0-4")).contains("from another process: server");
    }

    @Test
    void oldProcessServesOnWhereverItsSuccessorDiesDuringStart() throws Exception {
        StringBuilder faults = new StringBuilder("<call pooler=\"0\" atS=\"0.2\" line=\"SUSPEND\" on=\"1\"/>");
        int[] diesAfterMs = {1, 30, 80, 150, 250, 400, 600};
        for (int i = 0; i < diesAfterMs.length; i++) {
            faults.append("<upgrade pooler=\"0\" atS=\"")
                    .append(0.5 + i)
                    .append("\" diesAfterMs=\"")
                    .append(diesAfterMs[i])
                    .append("\"/>");
        }
        faults.append("<upgrade pooler=\"0\" atS=\"8\"/>");
        ExperimentPlay play = play(12, "1", faults.toString(), ALL_ANSWERED + "<upgrades atLeast=\"1\"/>");
        assertThat(play.events().lines().filter(event -> event.contains("successor is killed")))
                .hasSize(diesAfterMs.length);
    }

    @Test
    void upgradesWithoutDiscoveryWithCorruptFilesAndWithoutAFolder() throws Exception {
        Path commands = Files.createDirectories(dir.resolve("out/p0.tmp/frostreel-orders"));
        Files.writeString(commands.resolve("spoilt-00000001.orders"), "00000000\n{\"version\":1}");
        Files.createDirectories(dir.resolve("out/p1.tmp"));
        Files.writeString(dir.resolve("out/p1.tmp/frostreel-orders"), "a file in the folder's place");
        ExperimentPlay play = play(6, "2", """
                <cut pooler="0" to="discovery" atS="0.5" untilS="5"/>
                <call pooler="0" atS="0.7" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.7" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.9" line="RESTORE" on="1"/>
                <upgrade pooler="0" atS="1"/>
                <upgrade pooler="1" atS="1"/>""", ALL_ANSWERED + "<upgrades atLeast=\"2\"/>");
        assertThat(play.log("p0-2"))
                .contains("skipping command file spoilt-00000001.orders", "from another process: server");
        assertThat(play.log("p1-1")).contains("OK but cannot be kept");
    }

    @Test
    void pausedPoolerStaysPausedOverAnUpgradeWhileAnotherRestarts() throws Exception {
        ExperimentPlay play = play(13, "3", """
                <call pooler="0" atS="1" line="PAUSE"/>
                <kill pooler="1" atS="2" awayS="1"/>
                <upgrade pooler="0" atS="4"/>
                <call pooler="0" atS="9" line="RESUME"/>""", "");
        assertThat(play.events()).contains("p0: PAUSE: OK", "p0: RESUME: OK", "p1 is in");
        assertThat(play.log("p0-2")).contains("from another process: clients in force");
    }
}
