package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the built program whose system calls fail, at their start and under load. */
class SystemFaultsTest {
    private static final long SEED = 11;

    private static final String RESTART = "<kill pooler=\"0\" atS=\"1\" awayS=\"0.2\"/>";
    private static final String DRAIN = "<drainServer server=\"1\" atS=\"3\" untilS=\"6\"/>";

    @TempDir
    Path dir;

    @AfterEach
    void allProcessesHaveEnded() {
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** Plays faults of two poolers; each start has to end in time, and no log may report a fault. */
    private void play(int durationS, String faults, String checks) throws Exception {
        ExperimentPlay play = ExperimentPlay.play(dir, SEED, """
                <processes xmlns="urn:frostreel:processes:1" name="play" durationS="%d">
                <fleet poolers="2" groups="2" operated="true"/><clients perSecond="60"/>
                <faults>%s</faults><checks><rules slackMs="20000"/><slowestStartS atMost="8"/>
                <faultsInLogs atMost="0"/>%s</checks></processes>""".formatted(durationS, faults, checks));
        assertThat(play.passed()).as(play.output()).isTrue();
    }

    @Test
    void startsWhileNameResolutionHangs() throws Exception {
        String silentNameServer = "<system pooler=\"0\" call=\"RESOLVE\" spanMs=\"15000\" atS=\"0.5\" untilS=\"14\"/>";
        play(14, silentNameServer + RESTART, "");
    }

    /** The log's reader takes nothing for a while, as with a full pipe or a hung disk. */
    @Test
    void servesWhileItsLogBlocks() throws Exception {
        String blockedLog = "<system pooler=\"0\" call=\"LOG\" spanMs=\"3000\" atS=\"0.5\" untilS=\"5\"/>";
        play(10, blockedLog + RESTART + DRAIN, "<worth fromS=\"7\" toS=\"9\" atLeast=\"0.9\"/>");
    }

    /** Every accept fails for 3 s, while all clients have to reconnect. */
    @Test
    void acceptsAgainAsSoonAsTheSystemAllowsIt() throws Exception {
        play(9, """
                <system pooler="0" call="ACCEPT" error="ENFILE" atS="2" untilS="5"/>
                <system pooler="1" call="ACCEPT" error="ENOBUFS" atS="2" untilS="5"/>
                <reset pooler="0" to="clients" atS="2.1"/>
                <reset pooler="1" to="clients" atS="2.1"/>
                """, "<worth fromS=\"6\" toS=\"8\" atLeast=\"0.9\"/>");
    }

    /** Each answer of discovery takes longer than the pooler waits before it polls again. */
    @Test
    void startingProcessHearsSlowDiscovery() throws Exception {
        String slowDiscovery = "<delay pooler=\"0\" to=\"discovery\" ms=\"1200\" atS=\"0.5\" untilS=\"12\"/>";
        play(12, slowDiscovery + RESTART + DRAIN, "<blind atMost=\"0\"/>");
    }

    @Test
    void servesThroughShortTransfersAndInterruptedWaits() throws Exception {
        play(6, """
                <system pooler="0" call="WAIT" error="EINTR" times="2000" atS="0.5" untilS="5"/>
                <system pooler="0" call="RECEIVE" error="SHORT" atS="1" untilS="3"/>
                <system pooler="0" call="SEND" error="SHORT" atS="2" untilS="4"/>
                """, "<unanswered atMost=\"0\"/><worth fromS=\"0\" toS=\"6\" atLeast=\"0.9\"/>");
    }

    /** The wall clock jumps by an hour under load, and before a successor starts. */
    @Test
    void keepsDeadlinesWhileTheWallClockSteps() throws Exception {
        play(
                9,
                """
                <system pooler="0" call="WALL_CLOCK" spanMs="3600000" atS="1" untilS="3"/>
                <system pooler="1" call="WALL_CLOCK" spanMs="3600000" back="true" atS="1" untilS="9"/>
                <upgrade pooler="1" atS="2"/>""",
                "<unanswered atMost=\"0\"/><worth fromS=\"0\" toS=\"9\" atLeast=\"0.9\"/>"
                        + "<upgrades atLeast=\"1\"/>");
    }

    /** Neither the admin endpoint's socket nor any other can be opened in the first seconds. */
    @Test
    void startRetriesASocketThatTheSystemDenies() throws Exception {
        play(8, """
                <system pooler="0" call="SOCKET" error="ENFILE" atS="0.9" untilS="3.5"/>
                <kill pooler="0" atS="1" awayS="0.1"/>""", "<blind atMost=\"0\"/>");
    }
}
