package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.ReadinessStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Operators' tools rely on the replies' text. */
class AdminReplyTest {
    @Test
    void keepsTheTextOnWhichOperatorsToolsRely() {
        assertThat(AdminReply.values())
                .extracting(AdminReply::line)
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

    @ParameterizedTest
    @EnumSource
    void onlyRepliesThatBeginWithOkAreSuccesses(AdminReply reply) {
        assertThat(reply.isSuccess()).isEqualTo(reply.line().startsWith("OK"));
    }

    @Test
    void answersReadyWithoutAWireName() {
        assertThat(AdminReply.of(ReadinessStatus.READY)).isEqualTo(AdminReply.DONE);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "READY")
    void answersOtherStatusesWithTheirWireNames(ReadinessStatus status) {
        assertThat(AdminReply.of(status).line()).isEqualTo("ERR " + status.wireName());
    }
}
