package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the built program that are replaced, emptied and called under load. */
class UpgradesTest {
    private static final Path PROGRAM =
            Path.of("../pooler/target/frostreel.jar").toAbsolutePath();
    private static final long SEED = 7;
    /** However late this machine makes all of it, these hold. */
    private static final String CHECKS = """
            <rules slackMs="20000"/><faultsInLogs atMost="0"/>
            <killedOld atMost="0"/><refusedCalls atMost="0"/>""";

    private static final String ALL_ANSWERED = "<unanswered atMost=\"0\"/>";

    @TempDir
    Path dir;

    private String play(int seconds, String poolers, String faults, String checks) throws Exception {
        Path file = Files.writeString(dir.resolve("play.xml"), """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="%d">
                <fleet poolers="%s" groups="2" listLagS="0" operated="true"/><clients perSecond="60"/>
                <faults>%s</faults>
                <checks>%s%s</checks></processes>""".formatted(seconds, poolers, faults, CHECKS, checks));
        StringWriter out = new StringWriter();
        boolean good = new ProcessExperimentRunner(new PrintWriter(out), false)
                .run(ProcessExperiment.read(file), SEED, PROGRAM, dir.resolve("out"));
        String story = Files.readString(dir.resolve("out/story.txt"));
        assertThat(good).as("%s%n%s", out, story).isTrue();
        return story;
    }

    private String log(String life) throws IOException {
        return Files.readString(dir.resolve("out/" + life + ".log"));
    }

    @AfterEach
    void everyProcessHasEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    @Test
    void aServerTakenOutStaysOutOverThreeUpgradesInARow() throws Exception {
        String story = play(14, "2", """
                <call pooler="0" atS="0.5" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.5" line="SUSPEND" on="1"/>
                <upgrade pooler="0" atS="1"/>
                <upgrade pooler="0" atS="5"/>
                <upgrade pooler="0" atS="9"/>
                <drainServer server="2" atS="5.2" untilS="8"/>
                <call pooler="0" atS="13" line="RESTORE" on="1"/>
                <call pooler="1" atS="13" line="RESTORE" on="1"/>
                """, ALL_ANSWERED + "<upgrades atLeast=\"3\"/><atTheDoor atMost=\"6\"/>");
        assertThat(story).contains("p0: SUSPEND", "p0: RESTORE");
        assertThat(log("p0-4")).contains("from another process: server");
    }

    @Test
    void aSuccessorThatEndsAtAnyPointOfItsStartHarmsNothing() throws Exception {
        StringBuilder faults = new StringBuilder("<call pooler=\"0\" atS=\"0.2\" line=\"SUSPEND\" on=\"1\"/>");
        int[] dies = {1, 30, 80, 150, 250, 400, 600};
        for (int i = 0; i < dies.length; i++) {
            faults.append("<upgrade pooler=\"0\" atS=\"")
                    .append(0.5 + i)
                    .append("\" diesAfterMs=\"")
                    .append(dies[i])
                    .append("\"/>");
        }
        faults.append("<upgrade pooler=\"0\" atS=\"8\"/>");
        String story = play(12, "1", faults.toString(), ALL_ANSWERED + "<upgrades atLeast=\"1\"/>");
        assertThat(story.lines().filter(l -> l.contains("successor is killed"))).hasSize(dies.length);
    }

    @Test
    void anUpgradeNeedsNeitherDiscoveryNorSoundFilesNorAFolder() throws Exception {
        Path orders = Files.createDirectories(dir.resolve("out/p0.tmp/frostreel-orders"));
        Files.writeString(orders.resolve("spoilt-00000001.orders"), "00000000\n{\"version\":1}");
        Files.createDirectories(dir.resolve("out/p1.tmp"));
        Files.writeString(dir.resolve("out/p1.tmp/frostreel-orders"), "a file in the folder's place");
        play(6, "2", """
                <cut pooler="0" to="discovery" atS="0.5" untilS="5"/>
                <call pooler="0" atS="0.7" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.7" line="SUSPEND" on="1"/>
                <call pooler="1" atS="0.9" line="RESTORE" on="1"/>
                <upgrade pooler="0" atS="1"/>
                <upgrade pooler="1" atS="1"/>""", ALL_ANSWERED + "<upgrades atLeast=\"2\"/>");
        assertThat(log("p0-2"))
                .contains("skipping command file spoilt-00000001.orders", "from another process: server");
        assertThat(log("p1-1")).contains("OK but cannot be kept");
    }

    @Test
    void oneIsEmptiedAndFilledWhileAnotherDiesAndAPauseOutlastsAnUpgrade() throws Exception {
        String story = play(13, "3", """
                <call pooler="0" atS="1" line="PAUSE"/>
                <kill pooler="1" atS="2" awayS="1"/>
                <upgrade pooler="0" atS="4"/>
                <call pooler="0" atS="9" line="RESUME"/>""", "");
        assertThat(story).contains("p0: PAUSE: OK", "p0: RESUME: OK", "p1 is in");
        assertThat(log("p0-2")).contains("from another process: clients in force");
    }
}
