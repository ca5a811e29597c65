package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.ReadinessStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The texts of the responses, on which operators' tools depend. */
class AdminResponseTest {
    @Test
    void keepsTheTextsOnWhichOperatorsToolsDepend() {
        assertThat(AdminResponse.values())
                .extracting(AdminResponse::line)
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
    void onlyResponsesThatBeginWithOkAreSuccesses(AdminResponse response) {
        assertThat(response.isSuccess()).isEqualTo(response.line().startsWith("OK"));
    }

    @Test
    void mapsReadyToOkWithoutItsWireName() {
        assertThat(AdminResponse.of(ReadinessStatus.READY)).isEqualTo(AdminResponse.DONE);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "READY")
    void mapsOtherStatusesToTheirWireNames(ReadinessStatus status) {
        assertThat(AdminResponse.of(status).line()).isEqualTo("ERR " + status.wireName());
    }
}
