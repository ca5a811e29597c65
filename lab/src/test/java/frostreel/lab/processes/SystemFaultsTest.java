package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the built program whose system calls fail, at their start and under load. */
class SystemFaultsTest {
    private static final Path PROGRAM =
            Path.of("../pooler/target/frostreel.jar").toAbsolutePath();
    private static final long SEED = 11;

    @TempDir
    Path dir;

    @AfterEach
    void everyProcessHasEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** Plays faults on pooler 0 of two for so long; every start and every request has to come to its end. */
    private void play(int durationS, String faults, String checks) throws Exception {
        Path file = Files.writeString(dir.resolve("play.xml"), """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="%d">
                <fleet poolers="2" groups="2" operated="true"/><clients perSecond="60"/>
                <faults>%s</faults><checks><rules slackMs="20000"/><slowestStartS atMost="8"/>
                <faultsInLogs atMost="0"/>%s</checks></processes>""".formatted(durationS, faults, checks));
        StringWriter out = new StringWriter();
        boolean good = new ProcessExperimentRunner(new PrintWriter(out), false)
                .run(ProcessExperiment.read(file), SEED, PROGRAM, dir.resolve("out"));
        assertThat(good).as(out.toString()).isTrue();
    }

    @Test
    void aStartWaitsForNoNameServer() throws Exception {
        play(14, """
                <system pooler="0" call="RESOLVE" spanMs="15000" atS="0.5" untilS="14"/>
                <kill pooler="0" atS="1" awayS="0.2"/>""", "");
    }

    /** The log's reader takes nothing for a while, as a full pipe or a hung disk does. */
    @Test
    void aLogThatTakesNothingHoldsNothingUp() throws Exception {
        play(10, """
                <system pooler="0" call="LOG" spanMs="3000" atS="0.5" untilS="5"/>
                <kill pooler="0" atS="1" awayS="0.2"/>
                <drainServer server="1" atS="3" untilS="6"/>""", "<worth fromS=\"7\" toS=\"9\" atLeast=\"0.9\"/>");
    }

    /** No accept goes well for 3 s, while all clients have to connect anew. */
    @Test
    void acceptingGoesOnAsSoonAsTheSystemLetsIt() throws Exception {
        play(9, """
                <system pooler="0" call="ACCEPT" error="ENFILE" atS="2" untilS="5"/>
                <system pooler="1" call="ACCEPT" error="ENOBUFS" atS="2" untilS="5"/>
                <reset pooler="0" to="clients" atS="2.1"/>
                <reset pooler="1" to="clients" atS="2.1"/>
                """, "<worth fromS=\"6\" toS=\"8\" atLeast=\"0.9\"/>");
    }

    /** Each answer of discovery takes longer than the pooler waits before it asks again. */
    @Test
    void aSlowDiscoveryIsHeardByAProcessThatStarts() throws Exception {
        play(12, """
                <delay pooler="0" to="discovery" ms="1200" atS="0.5" untilS="12"/>
                <kill pooler="0" atS="1" awayS="0.2"/>
                <drainServer server="1" atS="3" untilS="6"/>""", "<blind atMost=\"0\"/>");
    }

    @Test
    void shortTransfersAndInterruptedWaitsChangeNothing() throws Exception {
        play(6, """
                <system pooler="0" call="WAIT" error="EINTR" times="2000" atS="0.5" untilS="5"/>
                <system pooler="0" call="RECEIVE" error="SHORT" atS="1" untilS="3"/>
                <system pooler="0" call="SEND" error="SHORT" atS="2" untilS="4"/>
                """, "<unanswered atMost=\"0\"/><worth fromS=\"0\" toS=\"6\" atLeast=\"0.9\"/>");
    }

    /** The wall clock jumps by an hour under load, and before a successor starts. */
    @Test
    void aSteppedWallClockMovesNoDeadlineAndNoOtherSpan() throws Exception {
        play(
                9,
                """
                <system pooler="0" call="WALL_CLOCK" spanMs="3600000" atS="1" untilS="3"/>
                <system pooler="1" call="WALL_CLOCK" spanMs="3600000" back="true" atS="1" untilS="9"/>
                <upgrade pooler="1" atS="2"/>""",
                "<unanswered atMost=\"0\"/><worth fromS=\"0\" toS=\"9\" atLeast=\"0.9\"/>"
                        + "<upgrades atLeast=\"1\"/>");
    }

    /** Neither the operators' listening socket nor any other is given for the first seconds. */
    @Test
    void aStartAsksAgainForASocketThatTheSystemDoesNotGive() throws Exception {
        play(8, """
                <system pooler="0" call="SOCKET" error="ENFILE" atS="0.9" untilS="3.5"/>
                <kill pooler="0" atS="1" awayS="0.1"/>""", "<blind atMost=\"0\"/>");
    }
}
