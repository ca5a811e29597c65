package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.ReadinessStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Operators' tools rely on the replies' text. */
class AdminReplyTest {
    @Test
    void keepsTheTextOnWhichOperatorsToolsRely() {
        List<String> lines = new ArrayList<>();
        for (AdminReply reply : AdminReply.values()) {
            lines.add(reply.line());
        }
        assertThat(lines)
                .containsExactly(
                        "OK",
                        "OK but cannot be kept for a successor",
                        "ERR starting",
                        "ERR emptied",
                        "ERR stopping",
                        "ERR no server has that id",
                        "ERR no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME",
                        "ERR a line of more than 512 bytes");
    }

    @Test
    void onlyRepliesThatBeginWithOkAreSuccesses() {
        for (AdminReply reply : AdminReply.values()) {
            assertThat(reply.isSuccess())
                    .as(reply.line())
                    .isEqualTo(reply.line().startsWith("OK"));
        }
    }

    @Test
    void answersStatusWithItsWireName() {
        assertThat(AdminReply.of(ReadinessStatus.READY)).isEqualTo(AdminReply.DONE);
        for (ReadinessStatus status :
                List.of(ReadinessStatus.STARTING, ReadinessStatus.DRAINING, ReadinessStatus.STOPPING)) {
            assertThat(AdminReply.of(status).line()).isEqualTo("ERR " + status.wireName());
        }
    }
}
