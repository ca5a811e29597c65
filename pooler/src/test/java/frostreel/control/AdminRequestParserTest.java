package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.control.AdminRequest.Verb;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdminRequestParserTest {
    @Test
    void parsesVerbsWithoutArgument() {
        assertThat(AdminRequestParser.parse("STATUS")).isEqualTo(new AdminRequest(Verb.STATUS, ""));
        assertThat(AdminRequestParser.parse("PAUSE")).isEqualTo(new AdminRequest(Verb.PAUSE, ""));
        assertThat(AdminRequestParser.parse("RESUME")).isEqualTo(new AdminRequest(Verb.RESUME, ""));
    }

    @Test
    void parsesVerbsWithServerId() {
        assertThat(AdminRequestParser.parse("SUSPEND a-1")).isEqualTo(new AdminRequest(Verb.SUSPEND, "a-1"));
        assertThat(AdminRequestParser.parse("RESTORE a-1")).isEqualTo(new AdminRequest(Verb.RESTORE, "a-1"));
    }

    @Test
    void skipsSurroundingAndRepeatedSpaces() {
        assertThat(AdminRequestParser.parse("  STATUS \r")).isEqualTo(new AdminRequest(Verb.STATUS, ""));
        assertThat(AdminRequestParser.parse("SUSPEND    a")).isEqualTo(new AdminRequest(Verb.SUSPEND, "a"));
    }

    @Test
    void parsesAllElseAsUnknown() {
        for (String line :
                List.of("", " ", "SUSPEND", "RESTORE", "STATUS a", "PAUSE a b", "status", "UNKNOWN", "SUSPEND\ta")) {
            assertThat(AdminRequestParser.parse(line).verb()).as(line).isEqualTo(Verb.UNKNOWN);
        }
    }
}
